// Replays a trace of membership changes on a fake cluster, with feeds that stay open throughout,
// and says what became of them. What plain consistent hashing, and hashing with one previous
// owner of each bucket, would have broken is worked out beside it from the same changes.
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
    std::string what;
    std::string whom;
};

struct trace_outcome
{
    std::size_t changes = 0;
    std::size_t feeds = 0;
    std::size_t broken = 0;
    // Of those: by nothing that the trace allows.
    std::size_t brokenByPlan = 0;
    std::size_t ownOfDeadServers = 0;
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
        if (words >> step.second >> step.what >> step.whom)
            steps.push_back(step);
    }
    return steps;
}

class trace_replay
{
public:
    explicit trace_replay(std::uint64_t seed) : m_all(seed, fake_network::faults {0.001, 0.001, 3})
    {
        m_all.membership().define("logbook", {address()}, 2000);
    }

    trace_outcome play(const std::vector<trace_step> &steps)
    {
        std::int64_t second = 0;
        for (const trace_step &step : steps) {
            for (; second < step.second; ++second)
                passSecond();
            apply(step);
        }
        constexpr int lastSeconds = 60;
        for (int i = 0; i < lastSeconds; ++i)
            passSecond();
        return outcome();
    }

private:
    // Where a feed would be without any directory.
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

    void passSecond()
    {
        if (m_started)
            open(feeds - std::min(feeds, m_all.callers().size() - m_gone));
        m_all.callers().sendOnAll(m_all.network().now());
        m_all.run(base::clock_time::ofSeconds(1));
        m_gone = m_all.callers().thatAre(fake_caller::fate::broken).size();
        m_started = true;
    }

    void open(std::size_t count)
    {
        for (const std::size_t caller : m_all.openFlows(address(), count)) {
            const base::bucket bucket(
                std::uint32_t(base::hashOf(m_all.callers().keyOf(caller)) % buckets));
            m_hashed.push_back(hashed_feed {bucket, m_history[bucket.value()].current});
        }
    }

    void apply(const trace_step &step)
    {
        if (step.what == "entry_die") {
            m_all.killEntry(entryOf(step));
        } else if (step.what == "die") {
            die(step.whom);
        } else {
            change(step);
            m_all.publish();
        }
    }

    void change(const trace_step &step)
    {
        if (step.what == "entry_join") {
            m_all.joinEntry(entryOf(step));
            return;
        }
        ++m_changes;
        if (step.what == "join")
            m_all.addAgent(step.whom, "logbook", "zone-1");
        else if (step.what == "drain" || step.what == "undrain")
            m_all.membership().drain(step.whom, step.what == "drain");
        else if (step.what == "evict")
            m_all.membership().evict(step.whom);
        else
            m_all.restartAgent(step.whom);
        hashAgain();
    }

    static std::size_t entryOf(const trace_step &step)
    {
        return std::stoul(step.whom.substr(step.whom.find('-') + 1)) - 1;
    }

    void die(const std::string &name)
    {
        m_lost.merge(m_all.callers().openAt(name));
        m_all.killVm(name);
        for (hashed_feed &feed : m_hashed)
            feed.lost = feed.lost || feed.owner == base::nodeIdOf(name);
    }

    void hashAgain()
    {
        const routing::bucket_table table(
            buckets,
            routing::directorsOf(*m_all.membership().view(), base::serviceIdOf("logbook")));
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
        const std::set<std::size_t> broken = m_all.callers().thatAre(fake_caller::fate::broken);
        trace_outcome result;
        result.changes = m_changes;
        result.feeds = m_all.callers().size();
        result.broken = broken.size();
        result.ownOfDeadServers = m_lost.size();
        for (const std::size_t caller : broken)
            result.brokenByPlan += m_lost.count(caller) == 0 ? 1 : 0;
        for (const std::size_t caller : m_lost)
            result.notReset += broken.count(caller) == 0 ? 1 : 0;
        result.notReset += m_all.callers().thatAre(fake_caller::fate::silent).size();
        result.wrongService = m_all.wrongService();
        result.split = m_all.callers().countSplit();
        for (const hashed_feed &feed : m_hashed) {
            result.brokenWithHashing += feed.brokenWithHashing ? 1 : 0;
            result.brokenWithOnePrevious += feed.brokenWithOnePrevious ? 1 : 0;
        }
        return result;
    }

    fake_cluster m_all;
    std::vector<hashed_feed> m_hashed;
    std::map<std::uint32_t, bucket_history> m_history;
    std::set<std::size_t> m_lost;
    std::size_t m_changes = 0;
    std::size_t m_gone = 0;
    bool m_started = false;
};

} // namespace lycheeshunt::flows
