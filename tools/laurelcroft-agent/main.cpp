//===-- main.cpp - the laurelcroft-agent program -----------------------------===//
//
// Parses the settings and runs the program.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/AgentProcess.h"

int main(int argc, char **argv)
{
    laurelcroft::settings options("laurelcroft-agent",
                                  "admits and runs attempts at the endpoint beside it");
    laurelcroft::addAgentSettings(options);
    switch (options.parse(argc, argv)) {
    case laurelcroft::settings_status::ready:
        return laurelcroft::runAgent(options);
    case laurelcroft::settings_status::failed:
        return 2;
    default:
        return 0;
    }
}
