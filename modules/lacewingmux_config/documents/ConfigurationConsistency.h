#pragma once

namespace lacewingmux {

class Configuration;
class SettingsReader;

/**
    Notes a fault for each name that stands twice, and for each plan or team that is named but not
    defined in the document.
*/
void checkConsistency(const Configuration &configuration, SettingsReader &reader);

} // namespace lacewingmux
