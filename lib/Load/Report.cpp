//===-- Report.cpp - JSON, text and HTML reports ----------------------------===//
//
// The HTML page has an inline SVG plot for each figure, with a line for each variant.
//
//===----------------------------------------------------------------------===//
#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>

using namespace laurelcroft;

namespace {
constexpr double plotWidth = 420;
constexpr double plotHeight = 220;
constexpr double plotMargin = 46;
constexpr std::array<const char *, 6> colours
        = {"#1f5fa8", "#c0392b", "#2c8a4b", "#8e44ad", "#b9770e", "#566573"};
} // namespace

static std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

static std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '&')
            out += "&amp;";
        else
            out += c;
    }
    return out;
}

std::string laurelcroft::jsonLines(const std::vector<trial_row> &rows)
{
    std::string all;
    for (const trial_row &row : rows) {
        nlohmann::ordered_json line = {{"experiment", row.experiment}, {"variant", row.variant}};
        if (!row.axis.empty())
            line[row.axis] = row.axisValue;
        for (const trial_figure &figure : row.figures)
            line[figure.name] = figure.value;
        all += line.dump() + "\n";
    }
    return all;
}

std::string laurelcroft::textTable(const std::vector<trial_row> &rows)
{
    std::string all;
    std::string last;
    for (const trial_row &row : rows) {
        if (row.experiment != last)
            all += "\n" + row.experiment + "\n";
        last = row.experiment;
        all += "  " + row.variant;
        if (!row.axis.empty())
            all += " at " + formatNumber(row.axisValue) + " " + row.axis;
        all += ":";
        for (const trial_figure &figure : row.figures)
            all += " " + figure.name + " = " + formatNumber(figure.value) + ";";
        all += "\n";
    }
    return all;
}

/// The (x, y) points of one figure, by variant.
using series = std::map<std::string, std::vector<std::pair<double, double>>>;

/// \returns an SVG line plot of \p lines. Its y axis starts at 0.
static std::string svgPlot(const std::string &title, const std::string &axis, const series &lines)
{
    double lowX = 1e300;
    double highX = -1e300;
    double highY = 0;
    for (const auto &[name, points] : lines) {
        for (const auto &[x, y] : points) {
            lowX = std::min(lowX, x);
            highX = std::max(highX, x);
            highY = std::max(highY, y);
        }
    }
    const double spanX = highX > lowX ? highX - lowX : 1;
    const double spanY = highY > 0 ? highY : 1;
    const auto toX = [&](double x) {
        return plotMargin + (x - lowX) / spanX * (plotWidth - 2 * plotMargin);
    };
    const auto toY = [&](double y) {
        return plotHeight - plotMargin - y / spanY * (plotHeight - 2 * plotMargin);
    };
    std::string svg = "<svg width='" + formatNumber(plotWidth) + "' height='"
            + formatNumber(plotHeight) + "'><text x='8' y='14' font-size='12'>" + escapeHtml(title)
            + "</text>" + "<text x='" + formatNumber(plotMargin) + "' y='"
            + formatNumber(plotHeight - 8) + "' font-size='10'>" + escapeHtml(axis) + " "
            + formatNumber(lowX) + " to " + formatNumber(highX)
            + "</text><text x='4' y='30' font-size='10'>" + formatNumber(highY) + "</text>";
    std::size_t colour = 0;
    for (const auto &[name, points] : lines) {
        std::string path;
        for (const auto &[x, y] : points)
            path += formatNumber(toX(x)) + "," + formatNumber(toY(y)) + " ";
        svg += "<polyline fill='none' stroke='" + std::string(colours[colour % colours.size()])
                + "' stroke-width='2' points='" + path + "'/>";
        colour += 1;
    }
    return svg + "</svg>";
}

static std::string experimentSection(const std::string &name, const std::vector<trial_row> &rows)
{
    std::string html = "<h2>" + escapeHtml(name) + "</h2><table><tr><th>variant</th><th>"
            + escapeHtml(rows.front().axis) + "</th>";
    for (const trial_figure &figure : rows.front().figures)
        html += "<th>" + escapeHtml(figure.name) + "</th>";
    html += "</tr>";
    std::map<std::string, series> plots;
    for (const trial_row &row : rows) {
        html += "<tr><td>" + escapeHtml(row.variant) + "</td><td>" + formatNumber(row.axisValue)
                + "</td>";
        for (const trial_figure &figure : row.figures) {
            html += "<td>" + formatNumber(figure.value) + "</td>";
            plots[figure.name][row.variant].emplace_back(row.axisValue, figure.value);
        }
        html += "</tr>";
    }
    html += "</table>";
    if (rows.front().axis.empty())
        return html;
    std::set<std::string> names;
    for (const trial_row &row : rows)
        names.insert(row.variant);
    std::size_t colour = 0;
    html += "<p>";
    for (const std::string &variant : names) {
        html += "<span style='color:" + std::string(colours[colour % colours.size()]) + "'>&#9644; "
                + escapeHtml(variant) + "</span> ";
        colour += 1;
    }
    html += "</p>";
    for (const auto &[figure, lines] : plots)
        html += svgPlot(figure, rows.front().axis, lines);
    return html;
}

std::string laurelcroft::htmlPage(const std::vector<trial_row> &rows, const std::string &source)
{
    std::string html = "<!doctype html><meta charset='utf-8'><title>laurelcroft experiments</title>"
                       "<style>body{font:14px sans-serif;margin:24px}table{border-collapse:"
                       "collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}"
                       "td:first-child{text-align:left}</style><h1>laurelcroft experiments</h1>";
    std::map<std::string, std::vector<trial_row>> groups;
    for (const trial_row &row : rows)
        groups[row.experiment].push_back(row);
    for (const auto &[name, group] : groups)
        html += experimentSection(name, group);
    return html + "<h2>file</h2><pre>" + escapeHtml(source) + "</pre>";
}
