#include "tools/soaktest/topology.h"

namespace lycheeshunt::soak {

topology defaultTopology()
{
    constexpr std::uint32_t documentationNetwork = 0xc0000200; // 192.0.2.0
    constexpr std::uint16_t port = 443;
    return topology {{"control-1", "control-2", "control-3"},
                     {"entry-1", "entry-2"},
                     {{"logbook-1", {"logbook", "zone-1"}},
                      {"logbook-2", {"logbook", "zone-2"}},
                      {"inspect-1", {"inspect", "zone-1"}},
                      {"inspect-2", {"inspect", "zone-2"}}},
                     {{{documentationNetwork + 1, port}, "logbook"},
                      {{documentationNetwork + 2, port}, "inspect"}}};
}

} // namespace lycheeshunt::soak
