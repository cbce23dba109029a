#include "declare/editor.hpp"

#include "core/overloaded.hpp"

// Parts go in before the head that names them, in transactions of bounded
// size; the head's swap requires that they exist. A part is named by its
// content, so putting it twice changes nothing and a lost answer needs no
// reading back. Pruning is guarded by the head's revision: it never removes
// what an accepted head names, and an editor whose parts it took finds the
// swap refused and puts them again.
namespace primrosedeal::declare
{
namespace
{

using namespace configuration;
using external::call_failure;
using external::call_purpose;

/// Bytes of parts put by one transaction.
constexpr auto batch_bytes = std::size_t{900'000};

auto all_parts() -> external::range_request
{
    return {part_prefix, external::prefix_end(part_prefix), false};
}

auto decode_view(external::stored_value const& head,
                 std::vector<external::stored_value> const& values)
    -> external::answer<document_view>
{
    auto parts = std::map<part_name, std::string>{};
    for (auto const& it : values)
    {
        parts.emplace(part_name_of(it.value), it.value);
    }
    try
    {
        auto const summary = read_head(head.value);
        auto view = document_view{decode(head.value, parts), head.modified,
                                  summary.format};
        for (auto const& [name, content] : parts)
        {
            view.parts.insert(name);
        }
        return view;
    }
    catch (stored_form_error const& ex)
    {
        return call_failure{external::call_fault::refused, ex.what()};
    }
}

class edit_run : public std::enable_shared_from_this<edit_run>
{
public:
    edit_run(editor_seams seams, edit_request request, edit_settings settings,
             std::function<void(edit_outcome)> done)
        : seams_(std::move(seams)), edit_(std::move(request), settings),
          random_(seams_.seed), done_(std::move(done))
    {
    }

    void perform(edit_step const& step)
    {
        std::visit(overloaded{[&](configuration::read_document const&)
                              { read(); },
                              [&](write_document const& it) { write(it); },
                              [&](pause_step const& it) { wait(it.how_long); },
                              [&](edit_outcome const& it)
                              {
                                  end(it);
                              }},
                   step);
    }

private:
    void read()
    {
        auto const self = shared_from_this();
        declare::read_document(seams_.store,
                               [self](external::answer<document_view> const& it)
                               { self->on_read(it); });
    }

    void on_read(external::answer<document_view> const& it)
    {
        auto const* view = std::get_if<document_view>(&it);
        if (view == nullptr)
        {
            perform(edit_.on_read_failure(random_));
            return;
        }
        held_parts_ = view->parts;
        perform(edit_.on_document(*view, seams_.civil_now(), random_));
    }

    void wait(duration how_long)
    {
        seams_.later(how_long, [self = shared_from_this()]
                     { self->perform(edit::on_pause_over()); });
    }

    void write(write_document const& it)
    {
        writing_ = it;
        missing_ = it.content.parts;
        std::erase_if(missing_, [&](auto const& part)
                      { return held_parts_.contains(part.first); });
        next_part_ = missing_.begin();
        put_parts();
    }

    /// Puts the next batch; after the last one swaps the head.
    void put_parts()
    {
        auto request = external::transaction{};
        auto bytes = std::size_t{0};
        auto const end = missing_.end();
        while (next_part_ != end &&
               (bytes == 0 || bytes + next_part_->second.size() <= batch_bytes))
        {
            bytes += next_part_->second.size();
            request.then.emplace_back(external::put{
                part_key(next_part_->first), next_part_->second, {}});
            ++next_part_;
        }
        if (request.then.empty())
        {
            swap_head();
            return;
        }
        commit(request, [](edit_run& self, bool) { self.put_parts(); });
    }

    void swap_head()
    {
        auto request = external::transaction{};
        request.conditions.emplace_back(
            external::unchanged_since{head_key, writing_.expected});
        for (auto const& [name, content] : writing_.content.parts)
        {
            request.conditions.emplace_back(external::exists{part_key(name)});
        }
        request.then.emplace_back(
            external::put{head_key, writing_.content.head, {}});
        head_sent_ = true;
        commit(request,
               [](edit_run& self, bool succeeded)
               {
                   self.perform(succeeded ? self.edit_.on_written()
                                          : self.edit_.on_condition_failed());
               });
    }

    void commit(external::transaction const& request,
                void (*next)(edit_run&, bool succeeded))
    {
        auto const self = shared_from_this();
        seams_.store.commit(
            call_purpose::configuration_write, request,
            [self,
             next](external::answer<external::transaction_result> const& it)
            {
                auto const* result =
                    std::get_if<external::transaction_result>(&it);
                if (result != nullptr)
                {
                    self->head_modified_ = result->at;
                    next(*self, result->succeeded);
                    return;
                }
                // Parts without a head have no effect on anybody.
                auto const fault = std::exchange(self->head_sent_, false)
                                       ? std::get<call_failure>(it).fault
                                       : external::call_fault::not_sent;
                self->perform(
                    self->edit_.on_write_failure(fault, self->random_));
            });
    }

    void end(edit_outcome const& it)
    {
        if (it.result == acceptance::accepted && head_sent_)
        {
            prune(it);
            return;
        }
        done_(it);
    }

    void prune(edit_outcome const& outcome)
    {
        auto const self = shared_from_this();
        auto request = all_parts();
        request.keys_only = true;
        seams_.store.range(
            call_purpose::configuration_write, request,
            [self, outcome](external::answer<external::range_result> const& it)
            {
                auto const* found = std::get_if<external::range_result>(&it);
                if (found == nullptr)
                {
                    // The next accepted edit does it.
                    self->done_(outcome);
                    return;
                }
                self->erase(found->values, outcome);
            });
    }

    void erase(std::vector<external::stored_value> const& found,
               edit_outcome const& outcome)
    {
        auto request = external::transaction{};
        request.conditions.emplace_back(
            external::unchanged_since{head_key, head_modified_});
        for (auto const& it : found)
        {
            auto const name =
                part_name{it.key.substr(std::string_view{part_prefix}.size())};
            if (!writing_.content.parts.contains(name) &&
                request.then.size() < max_parts)
            {
                request.then.emplace_back(external::erase{it.key});
            }
        }
        if (request.then.empty())
        {
            done_(outcome);
            return;
        }
        auto const self = shared_from_this();
        seams_.store.commit(
            call_purpose::configuration_write, request,
            [self,
             outcome](external::answer<external::transaction_result> const&)
            { self->done_(outcome); });
    }

    editor_seams seams_;
    edit edit_;
    random_source random_;
    std::function<void(edit_outcome)> done_;
    write_document writing_;
    std::set<part_name> held_parts_;
    std::map<part_name, std::string> missing_;
    std::map<part_name, std::string>::const_iterator next_part_;
    external::store_revision head_modified_;
    bool head_sent_ = false;
};

void read_parts(external::key_value_service& store,
                external::stored_value const& head,
                external::answer_handler<document_view> const& done)
{
    store.range(call_purpose::configuration_read, all_parts(),
                [head, done](external::answer<external::range_result> const& it)
                {
                    auto const* found =
                        std::get_if<external::range_result>(&it);
                    if (found == nullptr)
                    {
                        done(std::get<call_failure>(it));
                        return;
                    }
                    done(decode_view(head, found->values));
                });
}

} // namespace

void read_document(external::key_value_service& store,
                   external::answer_handler<document_view> const& done)
{
    auto const on_head =
        [&store, done](external::answer<external::range_result> const& it)
    {
        auto const* found = std::get_if<external::range_result>(&it);
        if (found == nullptr)
        {
            done(std::get<call_failure>(it));
        }
        else if (found->values.empty())
        {
            done(document_view{});
        }
        else
        {
            read_parts(store, found->values.front(), done);
        }
    };
    store.range(call_purpose::configuration_read, {head_key, "", false},
                on_head);
}

void run_edit(editor_seams const& seams, edit_request request,
              edit_settings settings, std::function<void(edit_outcome)> done)
{
    auto const run = std::make_shared<edit_run>(seams, std::move(request),
                                                settings, std::move(done));
    run->perform(edit::start());
}

} // namespace primrosedeal::declare
