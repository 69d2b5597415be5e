#pragma once

#include "lycheeshunt/settings/agent_settings.h"
#include "lycheeshunt/settings/control_settings.h"
#include "lycheeshunt/settings/entry_settings.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheeshunt::settings {

using role_settings = std::variant<entry_settings, agent_settings, control_settings>;

// All settings of a daemon.
struct node_settings
{
    const std::string name;
    const std::string availabilityZone;
    // Stream addresses of the control processes.
    const std::vector<base::endpoint> control;
    const role_settings role;
    // Listen address for metrics scrapers, if any.
    const std::optional<base::endpoint> metrics = {};

    bool operator==(const node_settings &) const = default;
};

} // namespace lycheeshunt::settings
