//===-- main.cpp - the laurelcroft-standin program ---------------------------===//
//
// Parses the settings and runs the program.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Standin/Standin.h"

int main(int argc, char **argv)
{
    laurelcroft::settings options("laurelcroft-standin",
                                  "simulates a platform service or an endpoint for tests");
    laurelcroft::addStandinSettings(options);
    switch (options.parse(argc, argv)) {
    case laurelcroft::settings_status::ready:
        return laurelcroft::runStandin(options);
    case laurelcroft::settings_status::failed:
        return 2;
    default:
        return 0;
    }
}
