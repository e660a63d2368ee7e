//===-- Entry/EntryProcess.h - the entry process ----------------*- C++ -*-===//
//
// Connects the entry's core with its callers, the links to agents and the platform's services.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ENTRYPROCESS_H
#define LAURELCROFT_ENTRY_ENTRYPROCESS_H

#include "laurelcroft/Support/Settings.h"

namespace laurelcroft {

/// Adds the entry's settings to \p declared.
void addEntrySettings(settings &declared);

/// Runs an entry until SIGTERM or SIGINT, then drains it.
/// \returns the exit code: 0 after the drain, 1 if the entry could not start.
int runEntry(const settings &given);

} // namespace laurelcroft

#endif
