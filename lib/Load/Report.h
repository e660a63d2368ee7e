//===-- Report.h - JSON, text and HTML reports ------------------*- C++ -*-===//
//
// Formats the rows of experiments. Internal to Load.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_LOAD_REPORT_H
#define LAURELCROFT_LIB_LOAD_REPORT_H

#include "laurelcroft/Load/Trial.h"

#include <string>
#include <vector>

namespace laurelcroft {

/// \returns one JSON object per row, each on its own line.
std::string jsonLines(const std::vector<trial_row> &rows);

/// \returns a self-contained HTML page with a table and SVG plots for each experiment.
/// \param source text of the experiment file, which is shown at the end of the page.
std::string htmlPage(const std::vector<trial_row> &rows, const std::string &source);

/// \returns a plain-text listing of the rows.
std::string textTable(const std::vector<trial_row> &rows);

} // namespace laurelcroft

#endif
