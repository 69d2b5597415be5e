// Reads typed values out of one TOML table and remembers which keys were asked for, so that the
// rest can be refused. The first fault is kept; later reads return defaults.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/result.h"

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheeshunt::settings::internal {

class table_reader
{
public:
    table_reader(const toml::table &table, std::string path);

    std::string text(const std::string &key);
    // Empty when the key is missing.
    std::string optionalText(const std::string &key);
    // The default when the key is missing.
    bool flag(const std::string &key, bool byDefault);
    std::int64_t number(const std::string &key, std::int64_t byDefault);
    std::optional<base::endpoint> optionalEndpoint(const std::string &key);
    base::endpoint endpoint(const std::string &key);
    std::vector<base::endpoint> endpoints(const std::string &key);
    // Whether an optional key is there.
    bool has(const std::string &key) const { return m_table.contains(key); }
    // The tables of an array of tables.
    std::vector<const toml::table *> tables(const std::string &key);
    // Null when the key is missing or no table.
    const toml::table *subtable(const std::string &key);

    // Reports the first key that nobody asked for.
    void refuseUnknownKeys();

    void fail(base::error_code code, const std::string &key, const std::string &what);
    void take(const table_reader &other);
    const std::string &path() const { return m_path; }
    const std::optional<base::error> &fault() const { return m_fault; }

private:
    const toml::node *find(const std::string &key);
    base::endpoint endpointFrom(const toml::node &node, const std::string &key);

    const toml::table &m_table;
    const std::string m_path;
    std::set<std::string> m_asked;
    std::optional<base::error> m_fault;
};

} // namespace lycheeshunt::settings::internal
