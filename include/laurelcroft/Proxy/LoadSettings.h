//===-- Proxy/LoadSettings.h - features for hard load ------------*- C++ -*-===//
//
// Which features for services under hard load are in use. By default they follow what the settings
// and the endpoints' answers state, so that other deployments are served without them.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_LOADSETTINGS_H
#define LAURELCROFT_PROXY_LOADSETTINGS_H

#include <optional>
#include <string_view>

namespace laurelcroft {

/// Whether a feature is used.
enum class feature_mode {
    automatic, ///< where the settings or the endpoints' answers call for it
    on,
    off
};

/// \returns the mode called \p text: "auto", "on" or "off"; nothing for any other text.
inline std::optional<feature_mode> featureModeOf(std::string_view text)
{
    if (text == "auto")
        return feature_mode::automatic;
    if (text == "on")
        return feature_mode::on;
    if (text == "off")
        return feature_mode::off;
    return std::nullopt;
}

/// Features of one entry.
struct load_settings
{
    /// The settings state that callers compete for the endpoints' room.
    bool competesForRoom = false;
    feature_mode admission = feature_mode::automatic;
    feature_mode pace = feature_mode::automatic;
    /// The standing rule serves callers as well where the pace of endpoints is used.
    feature_mode cascade = feature_mode::off;

    /// \returns whether a feature with \p mode is in use.
    /// \param isCalledFor the settings or the endpoints' answers call for it.
    static bool isInUse(feature_mode mode, bool isCalledFor)
    {
        return mode == feature_mode::on || (mode == feature_mode::automatic && isCalledFor);
    }
};

} // namespace laurelcroft

#endif
