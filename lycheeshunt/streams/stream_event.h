#pragma once

#include "lycheeshunt/streams/stream_closed.h"
#include "lycheeshunt/streams/stream_frame.h"
#include "lycheeshunt/streams/stream_opened.h"

#include <functional>
#include <variant>

namespace lycheeshunt::streams {

using stream_event = std::variant<stream_opened, stream_frame, stream_closed>;

// Called on the stream thread; usually pushes the event to the ring of the duty that handles it.
using stream_sink = std::function<void(const stream_event &)>;

} // namespace lycheeshunt::streams
