#include "cli/command.hpp"

#include "cli/subcommands.hpp"

#include <sstream>

namespace primrosedeal::cli
{

auto commands() -> std::vector<command> const&
{
    static auto const all = std::vector<command>{
        {"gateway", "run an entry host on the users' platform until SIGTERM",
         "primrosedeal gateway /etc/primrosedeal/boot.json", gateway},
        {"explain", "say from log lines why a request ended as it did",
         "primrosedeal explain 9c41d07be2a35f68 < gateway.log", explain},
        {"serve", "run an entry host until SIGTERM",
         "primrosedeal serve --settings=samples/kigali-kgl-1-a.host.yaml",
         serve},
        {"check", "check settings and configuration files",
         "primrosedeal check samples/kigali.defaults.yaml", check},
        {"check-configuration",
         "check a configuration of the gateway before it is sent",
         "primrosedeal check-configuration next.json --in-force now.json",
         check_configuration},
        {"defaults", "show, diff or apply the accepted configuration",
         "primrosedeal defaults apply fleet.yaml --author=ann --wait=10s "
         "--key_value=127.0.0.1:2379 --operators=127.0.0.1:8081 "
         "--secret_file=operators.secret",
         defaults},
        {"exceptions", "list, add or remove exceptions",
         "primrosedeal exceptions add --organisation=parliament "
         "--field=admission.weight --value=2 --reason=\"summit week\" "
         "--author=ann --key_value=127.0.0.1:2379",
         exceptions},
        {"load", "drive entry hosts and verify every answer",
         "primrosedeal load --entry_hosts=127.0.0.1:8080 "
         "--keys_file=keys.txt --generations=100",
         load},
        {"status", "show what entry hosts report",
         "primrosedeal status --operators=127.0.0.1:8081 "
         "--secret_file=operators.secret",
         status},
        {"version", "print the version", "primrosedeal version", version},
    };
    return all;
}

auto help_text(std::string_view name) -> std::string
{
    auto out = std::ostringstream{};
    out << "primrosedeal COMMAND [FLAGS] [ARGUMENTS]\n\n";
    for (auto const& it : commands())
    {
        if (name.empty() || name == it.name)
        {
            out << "  " << it.name << ": " << it.summary
                << "\n      example: " << it.example << "\n";
        }
    }
    out << "\nExit codes: 0 done; 1 what was asked for does not hold; 2 bad "
           "flags, arguments or\nfiles; 3 something could not be reached;\n4 "
           "serve ended with requests still open.\n";
    return out.str();
}

} // namespace primrosedeal::cli
