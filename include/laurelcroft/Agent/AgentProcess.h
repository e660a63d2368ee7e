//===-- Agent/AgentProcess.h - process of an agent ---------------*- C++ -*-===//
//
// Connects the agent core with its links, the platform services and the endpoint.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_AGENTPROCESS_H
#define LAURELCROFT_AGENT_AGENTPROCESS_H

#include "laurelcroft/Support/Settings.h"

namespace laurelcroft {

/// Adds the settings of an agent to \p declared.
void addAgentSettings(settings &declared);

/// Runs an agent until SIGTERM or SIGINT, then drains it.
/// \returns the exit code: 0 after a drain, 1 if the agent could not start.
int runAgent(const settings &given);

} // namespace laurelcroft

#endif
