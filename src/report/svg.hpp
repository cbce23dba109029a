#pragma once

#include <string>
#include <vector>

/// Small plots as SVG text.
namespace primrosedeal::report
{

struct point
{
    double x = 0;
    double y = 0;
};

struct series
{
    std::string name;
    /// An SVG colour.
    std::string colour;
    std::vector<point> points;
};

struct plot
{
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<series> all;
};

/// Axes from 0 to the largest value, a dot for each point, a legend.
auto scatter_plot(plot const& it) -> std::string;

} // namespace primrosedeal::report
