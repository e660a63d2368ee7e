//===-- Load/LoadTool.h - load generator and experiments --------*- C++ -*-===//
//
// Implements `laurelcroft-load`, which sends open-loop HTTP load to running processes or runs the
// experiments that a YAML file lists.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LOAD_LOADTOOL_H
#define LAURELCROFT_LOAD_LOADTOOL_H

#include "laurelcroft/Support/Settings.h"

namespace laurelcroft {

/// Declares the command-line settings of `laurelcroft-load`.
void addLoadSettings(settings &declared);

/// Runs the command given by the first word, `http` or `run`.
/// \returns the exit code: 0 on success, 1 if the load or an experiment can't run, 2 if the command
/// is invalid.
int runLoadTool(const settings &given);

} // namespace laurelcroft

#endif
