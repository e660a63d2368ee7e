//===-- RowStore.cpp - versioned rows with a change feed --------------------===//
//
// Names of the failures as they appear in logs.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/RowStore.h"

using namespace laurelcroft;

std::string_view laurelcroft::textOf(row_failure failure)
{
    switch (failure) {
    case row_failure::notDone:
        return "not_done";
    case row_failure::unknown:
        return "unknown";
    case row_failure::historyGone:
        return "history_gone";
    case row_failure::outdated:
        return "outdated";
    }
    return "unknown";
}
