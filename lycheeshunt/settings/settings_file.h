// Reads a daemon's settings from TOML and checks them whole: unknown keys, wrong types, missing
// and clashing values are each a numbered error that names file, line and key.
//
//     const result<node_settings> settings = readSettings("/etc/lycheeshunt/agent.toml");

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/settings/node_settings.h"

#include <string>
#include <string_view>

namespace lycheeshunt::settings {

base::result<node_settings> readSettings(const std::string &path);

// As readSettings, for text already at hand; `path` only names it in errors.
base::result<node_settings> parseSettings(std::string_view text, const std::string &path);

} // namespace lycheeshunt::settings
