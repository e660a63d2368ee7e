//===-- main.cpp - the laurelcroft-load program ------------------------------===//
//
// Parses the settings and runs the program.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/LoadTool.h"

int main(int argc, char **argv)
{
    laurelcroft::settings options("laurelcroft-load",
                                  "sends open-loop load and runs experiments: http | run FILE");
    laurelcroft::addLoadSettings(options);
    switch (options.parse(argc, argv)) {
    case laurelcroft::settings_status::ready:
        return laurelcroft::runLoadTool(options);
    case laurelcroft::settings_status::failed:
        return 2;
    default:
        return 0;
    }
}
