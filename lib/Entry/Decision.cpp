//===-- Decision.cpp - record of a routing decision -----------------------===//
//
// Names of the kinds of decisions.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/Decision.h"

#include <array>

using namespace laurelcroft;

std::string_view laurelcroft::textOf(decision_kind kind)
{
    static constexpr std::array<std::string_view, 8> names
            = {"session", "claim", "start", "endpoint", "attempt", "judge", "bill", "answer"};
    return names[static_cast<std::size_t>(kind)];
}
