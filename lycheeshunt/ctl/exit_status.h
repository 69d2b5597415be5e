// How lycheeshuntctl ends; docs/OPERATING.md lists them.

#pragma once

namespace lycheeshunt::ctl {

enum exit_status : int { done = 0, refused = 1, badUsage = 2, unreachable = 3, notInForce = 4 };

} // namespace lycheeshunt::ctl
