// Replays a trace of membership changes on a fake cluster with long-lived flows (feeds) and counts
// those that break. For comparison, counts from the same changes the flows that would break with
// plain consistent hashing, and with hashing that remembers one previous owner of each bucket.
//
//     trace_replay replay(seed);
//     const trace_outcome outcome = replay.play(readTrace(path));

#pragma once

#include "lycheeshunt/flows/fake_cluster_test.h"

#include <fstream>
#include <sstream>

namespace lycheeshunt::flows {

struct trace_step
{
    std::int64_t second = 0;
    std::string event;
    std::string node;
};

struct trace_outcome
{
    std::size_t changes = 0;
    std::size_t feeds = 0;
    std::size_t broken = 0;
    // The broken feeds whose server did not die.
    std::size_t brokenByPlannedChange = 0;
    std::size_t lostWithServers = 0;
    std::size_t notReset = 0;
    std::size_t wrongService = 0;
    std::size_t split = 0;
    std::size_t brokenWithHashing = 0;
    std::size_t brokenWithOnePrevious = 0;
};

inline std::vector<trace_step> readTrace(const std::string &path)
{
    std::vector<trace_step> steps;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        trace_step step;
        std::istringstream words(line);
        if (words >> step.second >> step.event >> step.node)
            steps.push_back(step);
    }
    return steps;
}

class trace_replay
{
public:
    explicit trace_replay(std::uint64_t seed)
        : m_cluster(seed, fake_network::faults {0.001, 0.001, 3})
    {
        m_cluster.membership().define("logbook", {address()}, 2000);
    }

    trace_outcome play(const std::vector<trace_step> &steps)
    {
        std::int64_t second = 0;
        for (const trace_step &step : steps) {
            for (; second < step.second; ++second)
                runOneSecond();
            apply(step);
        }
        constexpr int lastSeconds = 60;
        for (int i = 0; i < lastSeconds; ++i)
            runOneSecond();
        return outcome();
    }

private:
    // The owner of a feed if flows were assigned by hashing alone, without a directory.
    struct hashed_feed
    {
        base::bucket bucket;
        base::node_id owner;
        bool lost = false;
        bool brokenWithHashing = false;
        bool brokenWithOnePrevious = false;
    };
    struct bucket_history
    {
        base::node_id current;
        base::node_id previous;
    };

    static constexpr std::size_t feeds = 400;
    static constexpr std::uint32_t buckets = 64;

    static base::endpoint address() { return base::endpoint {0xc0000201, 443}; }

    void runOneSecond()
    {
        if (m_started)
            open(feeds - std::min(feeds, m_cluster.callers().size() - m_broken));
        m_cluster.callers().sendOnAll(m_cluster.network().now());
        m_cluster.run(base::clock_time::ofSeconds(1));
        m_broken = m_cluster.callers().inState(fake_caller::connection_state::broken).size();
        m_started = true;
    }

    void open(std::size_t count)
    {
        for (const std::size_t caller : m_cluster.openFlows(address(), count)) {
            const base::bucket bucket(
                std::uint32_t(base::hashOf(m_cluster.callers().keyOf(caller)) % buckets));
            m_hashed.push_back(hashed_feed {bucket, m_history[bucket.value()].current});
        }
    }

    void apply(const trace_step &step)
    {
        if (step.event == "entry_die") {
            m_cluster.killEntry(entryOf(step));
        } else if (step.event == "die") {
            die(step.node);
        } else {
            change(step);
            m_cluster.publish();
        }
    }

    void change(const trace_step &step)
    {
        if (step.event == "entry_join") {
            m_cluster.joinEntry(entryOf(step));
            return;
        }
        ++m_changes;
        if (step.event == "join")
            m_cluster.addAgent(step.node, "logbook", "zone-1");
        else if (step.event == "drain" || step.event == "undrain")
            m_cluster.membership().drain(step.node, step.event == "drain");
        else if (step.event == "evict")
            m_cluster.membership().evict(step.node);
        else
            m_cluster.restartAgent(step.node);
        updateHashedOwners();
    }

    static std::size_t entryOf(const trace_step &step)
    {
        return std::stoul(step.node.substr(step.node.find('-') + 1)) - 1;
    }

    void die(const std::string &name)
    {
        m_lost.merge(m_cluster.callers().openAt(name));
        m_cluster.killVm(name);
        for (hashed_feed &feed : m_hashed)
            feed.lost = feed.lost || feed.owner == base::nodeIdOf(name);
    }

    void updateHashedOwners()
    {
        const routing::bucket_table table(
            buckets,
            routing::directorsOf(*m_cluster.membership().view(), base::serviceIdOf("logbook")));
        for (std::uint32_t i = 0; i < buckets; ++i) {
            const base::node_id owner = table.directorOf(base::bucket(i)).node;
            if (owner != m_history[i].current)
                m_history[i] = bucket_history {owner, m_history[i].current};
        }
        for (hashed_feed &feed : m_hashed) {
            const bucket_history &history = m_history[feed.bucket.value()];
            const bool moved = feed.owner != history.current;
            if (feed.lost)
                continue;
            feed.brokenWithHashing = feed.brokenWithHashing || moved;
            feed.brokenWithOnePrevious
                = feed.brokenWithOnePrevious || (moved && feed.owner != history.previous);
        }
    }

    trace_outcome outcome()
    {
        const std::set<std::size_t> broken
            = m_cluster.callers().inState(fake_caller::connection_state::broken);
        trace_outcome result;
        result.changes = m_changes;
        result.feeds = m_cluster.callers().size();
        result.broken = broken.size();
        result.lostWithServers = m_lost.size();
        for (const std::size_t caller : broken)
            result.brokenByPlannedChange += m_lost.count(caller) == 0 ? 1 : 0;
        for (const std::size_t caller : m_lost)
            result.notReset += broken.count(caller) == 0 ? 1 : 0;
        result.notReset
            += m_cluster.callers().inState(fake_caller::connection_state::silent).size();
        result.wrongService = m_cluster.wrongService();
        result.split = m_cluster.callers().countSplit();
        for (const hashed_feed &feed : m_hashed) {
            result.brokenWithHashing += feed.brokenWithHashing ? 1 : 0;
            result.brokenWithOnePrevious += feed.brokenWithOnePrevious ? 1 : 0;
        }
        return result;
    }

    fake_cluster m_cluster;
    std::vector<hashed_feed> m_hashed;
    std::map<std::uint32_t, bucket_history> m_history;
    std::set<std::size_t> m_lost;
    std::size_t m_changes = 0;
    std::size_t m_broken = 0;
    bool m_started = false;
};

} // namespace lycheeshunt::flows
