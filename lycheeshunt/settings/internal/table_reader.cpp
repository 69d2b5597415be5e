#include "lycheeshunt/settings/internal/table_reader.h"

namespace lycheeshunt::settings::internal {

table_reader::table_reader(const toml::table &table, std::string path)
    : m_table(table), m_path(std::move(path))
{
}

void table_reader::fail(base::error_code code, const std::string &key, const std::string &what)
{
    if (m_fault)
        return;
    const toml::node *node = m_table.get(key);
    const toml::source_region &region = node != nullptr ? node->source() : m_table.source();
    std::string detail = m_path + ":" + std::to_string(region.begin.line) + ": " + key;
    if (!what.empty())
        detail += ": " + what;
    m_fault.emplace(base::error {code, detail});
}

void table_reader::mergeFault(const table_reader &other)
{
    if (!m_fault && other.m_fault)
        m_fault.emplace(*other.m_fault);
}

const toml::node *table_reader::find(const std::string &key)
{
    m_readKeys.insert(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr)
        fail(base::error_code::settingsMissingKey, key, "");
    return node;
}

std::string table_reader::text(const std::string &key)
{
    const toml::node *node = find(key);
    if (node == nullptr)
        return {};
    const std::optional<std::string> value = node->value_exact<std::string>();
    if (!value)
        fail(base::error_code::settingsWrongType, key, "expected a string");
    else if (value->empty())
        fail(base::error_code::settingsBadValue, key, "must not be empty");
    return value.value_or("");
}

std::string table_reader::optionalText(const std::string &key)
{
    m_readKeys.insert(key);
    return m_table.contains(key) ? text(key) : std::string();
}

bool table_reader::flag(const std::string &key, bool byDefault)
{
    m_readKeys.insert(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr)
        return byDefault;
    const std::optional<bool> value = node->value_exact<bool>();
    if (!value)
        fail(base::error_code::settingsWrongType, key, "expected true or false");
    return value.value_or(byDefault);
}

std::int64_t table_reader::number(const std::string &key, std::int64_t byDefault)
{
    m_readKeys.insert(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr)
        return byDefault;
    const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (!value)
        fail(base::error_code::settingsWrongType, key, "expected a whole number");
    return value.value_or(byDefault);
}

double table_reader::decimal(const std::string &key, double byDefault)
{
    m_readKeys.insert(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr)
        return byDefault;
    const std::optional<double> value = node->value<double>();
    if (!value)
        fail(base::error_code::settingsWrongType, key, "expected a number");
    return value.value_or(byDefault);
}

std::optional<base::endpoint> table_reader::optionalEndpoint(const std::string &key)
{
    m_readKeys.insert(key);
    if (!m_table.contains(key))
        return std::nullopt;
    return endpoint(key);
}

base::endpoint table_reader::endpointFrom(const toml::node &node, const std::string &key)
{
    const std::optional<std::string> value = node.value_exact<std::string>();
    if (!value) {
        fail(base::error_code::settingsWrongType, key, "expected a string \"a.b.c.d:port\"");
        return {};
    }
    const base::result<base::endpoint> parsed = base::parseEndpoint(*value);
    if (const base::error *failure = base::errorOf(parsed)) {
        fail(failure->code, key, failure->detail);
        return {};
    }
    return base::valueOf(parsed);
}

base::endpoint table_reader::endpoint(const std::string &key)
{
    const toml::node *node = find(key);
    return node == nullptr ? base::endpoint {} : endpointFrom(*node, key);
}

std::vector<base::endpoint> table_reader::endpoints(const std::string &key)
{
    std::vector<base::endpoint> all;
    const toml::node *node = find(key);
    if (node == nullptr)
        return all;
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty()) {
        fail(base::error_code::settingsWrongType, key, "expected an array of at least one address");
        return all;
    }
    for (auto it = array->begin(); it != array->end(); ++it)
        all.push_back(endpointFrom(*it, key));
    return all;
}

std::vector<const toml::table *> table_reader::tables(const std::string &key)
{
    std::vector<const toml::table *> all;
    const toml::node *node = find(key);
    if (node == nullptr)
        return all;
    const toml::array *array = node->as_array();
    if (array == nullptr || !array->is_homogeneous<toml::table>()) {
        fail(base::error_code::settingsWrongType, key, "expected an array of tables");
        return all;
    }
    for (auto it = array->begin(); it != array->end(); ++it)
        all.push_back(it->as_table());
    return all;
}

const toml::table *table_reader::subtable(const std::string &key)
{
    const toml::node *node = find(key);
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        fail(base::error_code::settingsWrongType, key, "expected a table");
    return node->as_table();
}

void table_reader::refuseUnknownKeys()
{
    for (auto it = m_table.begin(); it != m_table.end(); ++it) {
        const std::string key(it->first.str());
        if (m_readKeys.count(key) == 0)
            fail(base::error_code::settingsUnknownKey, key, "");
    }
}

} // namespace lycheeshunt::settings::internal
