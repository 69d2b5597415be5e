// Notices that the settings file has changed, with or without a signal. New settings are taken up
// whole or not at all.
//
//     settings_watch watch(path, settings);
//     if (const std::optional<node_settings> changed = watch.poll(isAsked)) ...

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

    // The new settings when the file holds others than before. A file that can't be used is logged
    // once, and the present settings stay.
    std::optional<settings::node_settings> poll();

private:
    const std::string m_path;
    std::shared_ptr<const settings::node_settings> m_current;
    std::string m_lastFault;
};

} // namespace lycheeshunt::daemon
