#pragma once

namespace lycheeshunt::soak {

// What the soak does to a process: SIGTERM, SIGKILL, SIGSTOP, SIGCONT, or a start.
enum class process_change { stop, kill, pause, resume, start };

} // namespace lycheeshunt::soak
