// Reads typed values from one TOML table and records which keys were read, so that unknown keys can
// be refused. Only the first fault is kept; a read that fails returns a default.

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
    // Also takes a whole number.
    double decimal(const std::string &key, double byDefault);
    std::optional<base::endpoint> optionalEndpoint(const std::string &key);
    base::endpoint endpoint(const std::string &key);
    std::vector<base::endpoint> endpoints(const std::string &key);
    // Whether the table contains the key.
    bool has(const std::string &key) const { return m_table.contains(key); }
    // The tables of an array of tables.
    std::vector<const toml::table *> tables(const std::string &key);
    // Null when the key is missing or not a table.
    const toml::table *subtable(const std::string &key);

    // Reports the first key that was not read.
    void refuseUnknownKeys();

    void fail(base::error_code code, const std::string &key, const std::string &what);
    // Copies the other reader's fault unless this one already has one.
    void mergeFault(const table_reader &other);
    const std::string &path() const { return m_path; }
    const std::optional<base::error> &fault() const { return m_fault; }

private:
    const toml::node *find(const std::string &key);
    base::endpoint endpointFrom(const toml::node &node, const std::string &key);

    const toml::table &m_table;
    const std::string m_path;
    std::set<std::string> m_readKeys;
    std::optional<base::error> m_fault;
};

} // namespace lycheeshunt::settings::internal
