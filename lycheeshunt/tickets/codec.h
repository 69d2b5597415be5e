// MessagePack form of tickets and services, for the log and for other nodes.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::tickets {

struct address_route;
struct service_address;
struct service_definition;
struct ticket;

std::string encodeTicket(const ticket &ticket);
base::result<tickets::ticket> decodeTicket(std::string_view bytes);

std::string encodeService(const service_definition &service);
base::result<service_definition> decodeService(std::string_view bytes);

std::string encodeRoute(const address_route &route);
base::result<address_route> decodeRoute(std::string_view bytes);

std::string encodeAddress(const service_address &address);
base::result<service_address> decodeAddress(std::string_view bytes);

} // namespace lycheeshunt::tickets
