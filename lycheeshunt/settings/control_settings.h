#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/control_peer.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheeshunt::settings {

// Settings of a control process besides the common ones.
struct control_settings
{
    // Listen address for streams from all other processes.
    const base::endpoint streams;
    // Listen address of the operators' HTTP API.
    const base::endpoint api;
    // Holds the log; must be on persistent storage.
    const std::string dataFolder;
    // All control VMs, including this one; a single element for a group of one.
    const std::vector<replication::control_peer> peers = {};
    // Path of the file with the operators' token; empty only where the API is bound to loopback.
    const std::string tokenFile = {};
    // Listen address for desired states from operators (HTTP).
    const std::optional<base::endpoint> states = {};
    // Whether membership is dynamic: the VMs at the control addresses form the group, and others
    // join it.
    const bool isOpenGroup = false;
    // Whether this VM may take part in forming a group; false on a VM that replaces another.
    const bool mayBootstrap = true;
    // The number of control VMs whose disks may be lost at the same time.
    const std::size_t toleratedLosses = 1;

    bool operator==(const control_settings &) const = default;
};

} // namespace lycheeshunt::settings
