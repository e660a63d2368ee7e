//===-- main.cpp - the laurelcroft-entry program -----------------------------===//
//
// Parses the settings and runs the program.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/EntryProcess.h"

int main(int argc, char **argv)
{
    laurelcroft::settings options(
            "laurelcroft-entry",
            "accepts callers' requests and decides which endpoints serve them");
    laurelcroft::addEntrySettings(options);
    switch (options.parse(argc, argv)) {
    case laurelcroft::settings_status::ready:
        return laurelcroft::runEntry(options);
    case laurelcroft::settings_status::failed:
        return 2;
    default:
        return 0;
    }
}
