// Measures the replicated log of one control VM: entries written and synced per second, recovery
// time and disk usage. The argument is a folder on the disk to measure.

#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/replica_storage.h"
#include "tools/measurements/measurement.h"

#include <chrono>
#include <filesystem>

namespace {

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

constexpr std::size_t payloadBytes = 150;
constexpr std::size_t largeBatch = 64;

double millisOf(const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

replica_storage openStorage(const std::string &folder)
{
    base::result<disk_files> files = disk_files::open(folder);
    base::result<replica_storage> storage
        = replica_storage::open(base::takeValue(std::move(files)), storage_id(1));
    return base::takeValue(std::move(storage));
}

void write(replica_storage &storage, std::size_t count, std::size_t entriesPerSync)
{
    storage.persist(hard_state {1, {}});
    for (std::size_t first = 0; first < count; first += entriesPerSync) {
        std::vector<log_entry> entries;
        for (std::size_t i = first; i < std::min(count, first + entriesPerSync); ++i)
            entries.push_back(log_entry {base::generation(i + 1),
                                         1,
                                         entry_kind::ticket,
                                         {},
                                         std::string(payloadBytes, 'x')});
        if (storage.persist(persist_entries {std::move(entries)}))
            std::exit(1);
    }
}

double folderBytes(const std::string &folder)
{
    double bytes = 0;
    for (const std::filesystem::directory_entry &file : std::filesystem::directory_iterator(folder))
        bytes += static_cast<double>(file.file_size());
    return bytes;
}

void measureStorage(const std::string &folder, std::size_t count, std::size_t entriesPerSync)
{
    std::filesystem::remove_all(folder);
    const std::string label = std::to_string(count) + "_by_" + std::to_string(entriesPerSync);
    replica_storage storage = openStorage(folder);
    const double elapsedMillis = millisOf([&]() { write(storage, count, entriesPerSync); });
    measurements::report("entries_synced_" + label,
                         1000.0 * static_cast<double>(count) / elapsedMillis, "1/s");
    measurements::report("recovery_" + label, millisOf([&]() { openStorage(folder); }), "ms");
    measurements::report("disk_" + label, folderBytes(folder), "B");
    std::filesystem::remove_all(folder);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = std::string(argc > 1 ? argv[1] : ".") + "/measured-replication";
    measureStorage(folder, 500, 1);
    measureStorage(folder, 50'000, largeBatch);
    return 0;
}
