//===-- ConfidenceCascade.cpp - small model first ---------------------------===//
//
// A doubtful answer goes straight to the largest model: a second doubtful answer would
// cost another wait before the first event.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ConfidenceCascade.h"

#include <algorithm>

using namespace laurelcroft;

std::size_t laurelcroft::firstModel(const cascade_settings &settings, std::size_t models)
{
    return models == 0 ? 0 : std::min(settings.firstModel, models - 1);
}

std::optional<std::size_t> laurelcroft::escalatesTo(const cascade_settings &settings,
                                                    const cascade_view &view)
{
    const bool largest = view.model + 1 >= view.models;
    if (largest || !view.mayRunAgain || !view.confidence)
        return std::nullopt;
    if (*view.confidence >= settings.keepFrom)
        return std::nullopt;
    return view.models - 1;
}
