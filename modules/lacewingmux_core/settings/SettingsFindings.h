#pragma once

#include <QString>

#include <vector>

namespace lacewingmux {

/** One fault of a document: where it is and what was expected there. */
struct SettingsFault
{
    QString path; ///< for example "peers.seeds[2].address"; empty for the document itself
    QString message;

    /** Returns "path: message". */
    [[nodiscard]] QString toString() const;
};

/** One field that a reader asked for, for the documentation. */
struct SettingsField
{
    QString path; ///< with "[]" for every element of a list
    QString type;
    QString range;    ///< with the unit
    QString fallback; ///< the default, or "required"
    QString meaning;

    /** Returns the field as a row of a Markdown table. */
    [[nodiscard]] QString toTableRow() const;
};

/** What reading a document brought to light: every fault, and every field that was asked for. */
struct SettingsFindings
{
    std::vector<SettingsFault> faults;
    std::vector<SettingsField> fields;

    /** Returns the faults, one on a line. */
    [[nodiscard]] QString faultText() const;
};

} // namespace lacewingmux
