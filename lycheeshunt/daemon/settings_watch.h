// Detects changes of the settings file, with or without a signal. New settings are applied
// completely or not at all.
//
//     settings_watch watch(path, settings);
//     if (const std::optional<node_settings> changed = watch.poll()) ...

#pragma once

#include "lycheeshunt/settings/node_settings.h"

#include <memory>
#include <optional>
#include <string>

namespace lycheeshunt::daemon {

class settings_watch
{
public:
    settings_watch(std::string path, const settings::node_settings &current);

    // Returns the new settings if they differ from the current ones. An unusable file is logged
    // once per error, and the current settings stay.
    std::optional<settings::node_settings> poll();

private:
    const std::string m_path;
    std::shared_ptr<const settings::node_settings> m_current;
    std::string m_lastFault;
};

} // namespace lycheeshunt::daemon
