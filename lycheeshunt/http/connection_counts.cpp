#include "lycheeshunt/http/connection_counts.h"

#include "lycheeshunt/http/internal/connection_counters.h"

namespace lycheeshunt::http {

connection_counts connectionCounts()
{
    return internal::connection_counters::ofProcess().read();
}

} // namespace lycheeshunt::http
