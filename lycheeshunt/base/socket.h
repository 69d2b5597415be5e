// Opens the non-blocking sockets that the slices use.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"

struct sockaddr_in;

namespace lycheeshunt::base {

result<file_descriptor> openDatagramSocket(const endpoint &local);
result<file_descriptor> openListener(const endpoint &local);

// Starts a TCP connection; the socket becomes writable once it is established or has failed.
result<file_descriptor> startConnection(const endpoint &remote);

// Sends small messages at once instead of waiting for the acknowledgement of earlier ones, which
// the receiver delays by up to 40 ms.
void sendWithoutDelay(const file_descriptor &socket);

// Returns the address that the socket is bound to, with the actual port if it was bound to port 0.
endpoint localEndpoint(const file_descriptor &socket);

sockaddr_in toSocketAddress(const endpoint &where);
endpoint fromSocketAddress(const sockaddr_in &raw);

} // namespace lycheeshunt::base
