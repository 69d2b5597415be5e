// The thread of the proxies in front of the streams of all control VMs.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "tools/soaktest/link_order.h"
#include "tools/soaktest/link_pipe.h"
#include "tools/soaktest/process_addresses.h"

#include <poll.h>

#include <list>
#include <map>
#include <thread>
#include <vector>

namespace lycheeshunt::soak {

class link_duty
{
public:
    // Control VMs by name. Throws std::runtime_error if a port is taken.
    explicit link_duty(const std::map<std::string, process_addresses> &controls);
    ~link_duty();

    void push(const link_order &order) { m_inbox.push(order); }

private:
    struct proxy
    {
        std::string control;
        base::file_descriptor listener;
        base::endpoint target;
        link_order order;
    };
    struct connection
    {
        std::string control;
        bool isSecond;
        base::file_descriptor client;
        base::file_descriptor server;
        link_pipe toControl;
        link_pipe fromControl;
        bool isClosed = false;
    };

    void run();
    int timeout(base::clock_time now) const;
    void watch(std::vector<pollfd> &watched, base::clock_time now);
    void accept(proxy &from);
    void apply(const link_order &order);
    static void apply(const link_order &order, connection &each);
    static void relay(connection &each, base::clock_time now);
    static void move(connection &each, link_pipe &pipe, const base::file_descriptor &from,
                     const base::file_descriptor &to, base::clock_time now);

    std::vector<proxy> m_proxies;
    std::list<connection> m_connections;
    bool m_isNextSecond = false;
    base::ring<link_order> m_inbox {64};
    std::thread m_thread;
};

} // namespace lycheeshunt::soak
