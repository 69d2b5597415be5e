// Exit statuses of lycheeshuntctl; documented in docs/OPERATING.md.

#pragma once

namespace lycheeshunt::ctl {

enum exit_status : int { done = 0, refused = 1, badUsage = 2, unreachable = 3, notInForce = 4 };

} // namespace lycheeshunt::ctl
