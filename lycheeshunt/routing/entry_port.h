// The packet thread of an entry: receives callers' packets from the fabric in batches, routes
// each by the current table and sends it on. It keeps no state for a flow.
//
//     base::result<std::unique_ptr<entry_port>> port = entry_port::open(local);
//     valueOf(port)->tables().push(table);

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/routing/routing_table.h"

#include <atomic>
#include <memory>
#include <thread>

namespace lycheeshunt::routing {

class entry_port
{
public:
    static base::result<std::unique_ptr<entry_port>> open(const base::endpoint &local);
    ~entry_port();

    entry_port(const entry_port &) = delete;
    entry_port &operator=(const entry_port &) = delete;

    // Newer tables are pushed here; the latest one counts.
    base::ring<shared_table> &tables() { return m_tables; }
    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t unroutable() const { return m_unroutable; }

private:
    struct batch;

    explicit entry_port(base::file_descriptor socket);

    void run();
    void routeBatch(batch &packets);

    base::file_descriptor m_socket;
    base::ring<shared_table> m_tables;
    shared_table m_table;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_unroutable = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::routing
