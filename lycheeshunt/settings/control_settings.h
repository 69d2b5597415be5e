#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/control_peer.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheeshunt::settings {

// What a control process needs besides the common settings.
struct control_settings
{
    // Bound here: streams from every other process.
    const base::endpoint streams;
    // Bound here: the operators' HTTP API.
    const base::endpoint api;
    // Holds the log; must be on a disk that lasts.
    const std::string dataFolder;
    // All control VMs, this one included; one entry for a control VM alone.
    const std::vector<replication::control_peer> peers = {};
    // Holds the operators' token; empty only where the API is bound to loopback.
    const std::string tokenFile = {};
    // Bound here: desired states from operators (HTTP).
    const std::optional<base::endpoint> states = {};
    // The control addresses of the settings are seeds: they found the group, others join it.
    const bool isOpenGroup = false;
    // Whether this VM may take part in founding a group; false on one that replaces another.
    const bool mayBootstrap = true;
    // Disks of control VMs that may be lost at once.
    const std::size_t toleratedLosses = 1;

    bool operator==(const control_settings &) const = default;
};

} // namespace lycheeshunt::settings
