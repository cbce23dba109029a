#include "report/svg.hpp"

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

// A fixed canvas; both axes are linear and begin at 0.
namespace primrosedeal::report
{

namespace
{

constexpr auto width = 720.0;
constexpr auto height = 400.0;
constexpr auto margin = 56.0;
constexpr auto ticks = 5;

auto escaped(std::string const& text) -> std::string
{
    return absl::StrReplaceAll(text,
                               {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

struct scale
{
    double most_x = 1;
    double most_y = 1;

    [[nodiscard]] auto x(double value) const -> double
    {
        return margin + value / most_x * (width - 2 * margin);
    }

    [[nodiscard]] auto y(double value) const -> double
    {
        return height - margin - value / most_y * (height - 2 * margin);
    }
};

auto scale_of(plot const& it) -> scale
{
    auto found = scale{0, 0};
    for (auto const& each : it.all)
    {
        for (auto const& at : each.points)
        {
            found.most_x = std::max(found.most_x, at.x);
            found.most_y = std::max(found.most_y, at.y);
        }
    }
    found.most_x = found.most_x > 0 ? found.most_x : 1;
    found.most_y = found.most_y > 0 ? found.most_y : 1;
    return found;
}

auto text_at(double x, double y, char const* anchor, std::string const& text)
    -> std::string
{
    return absl::StrFormat(
        "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
        anchor, escaped(text));
}

auto axes(plot const& it, scale const& by) -> std::string
{
    auto out = absl::StrFormat("<path d=\"M%.1f %.1fV%.1fH%.1f\" fill=\"none\" "
                               "stroke=\"black\"/>\n",
                               margin, margin, height - margin, width - margin);
    constexpr auto gap = 16.0;
    for (auto i = 0; i <= ticks; ++i)
    {
        auto const share = static_cast<double>(i) / ticks;
        auto const x = by.most_x * share;
        auto const y = by.most_y * share;
        out += text_at(by.x(x), height - margin + gap, "middle",
                       absl::StrFormat("%.3g", x));
        out +=
            text_at(margin - 4, by.y(y) + 4, "end", absl::StrFormat("%.3g", y));
    }
    out += text_at(width / 2, height - gap, "middle", it.x_label);
    out += text_at(margin, margin - 2 * gap, "middle", it.y_label);
    out += text_at(width / 2, margin - 2 * gap, "middle", it.title);
    return out;
}

auto dots(series const& it, scale const& by) -> std::string
{
    auto out = std::string{};
    for (auto const& at : it.points)
    {
        out += absl::StrFormat("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"2.5\" "
                               "fill=\"%s\"/>\n",
                               by.x(at.x), by.y(at.y), it.colour);
    }
    return out;
}

} // namespace

auto scatter_plot(plot const& it) -> std::string
{
    auto const by = scale_of(it);
    auto out = absl::StrFormat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
        "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n",
        width, height);
    out += axes(it, by);
    auto legend_y = margin;
    for (auto const& each : it.all)
    {
        out += dots(each, by);
        out += absl::StrFormat(
            "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>\n",
            width - margin - 90, legend_y - 4, each.colour);
        out += text_at(width - margin - 80, legend_y, "start", each.name);
        legend_y += 16;
    }
    return out + "</svg>\n";
}

} // namespace primrosedeal::report
