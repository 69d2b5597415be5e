// Reads a daemon's settings from TOML and validates them: unknown keys, wrong types, missing and
// conflicting values are each reported as a numbered error that names file, line and key.
//
//     const result<node_settings> settings = readSettings("/etc/lycheeshunt/agent.toml");

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/settings/node_settings.h"

#include <string>
#include <string_view>

namespace lycheeshunt::settings {

base::result<node_settings> readSettings(const std::string &path);

// Like readSettings, for text in memory; `path` is only used in errors.
base::result<node_settings> parseSettings(std::string_view text, const std::string &path);

} // namespace lycheeshunt::settings
