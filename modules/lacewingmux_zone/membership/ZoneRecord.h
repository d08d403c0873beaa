#pragma once

#include "lacewingmux_zone/views/ViewHistory.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <QByteArray>
#include <QString>

#include <cstddef>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    The record of a zone in the platform's store: its view and the views before it.

    JSON: {"zone", "epoch", "members": [{"vm", "incarnation", "address", "controlPort",
    "trafficPort", "dataFolder"}], "history": [{"epoch", "members"}]}. Numbers of 64 bits are
    written as text, since JSON keeps only 53 of them.
*/
class ZoneRecord
{
public:
    /** How many earlier views the record keeps. */
    static constexpr std::size_t keptViews = 8;

    ZoneRecord() = default;

    /** Makes the first record of a zone. */
    ZoneRecord(const QString &zone, std::vector<VmDescriptor> members);

    /** Makes a record of its view and the ones before it, newest first. */
    ZoneRecord(std::shared_ptr<const ZoneView> view,
               std::vector<std::shared_ptr<const ZoneView>> viewsBefore);

    /** Returns the record that follows this one with other members, at the next epoch. */
    [[nodiscard]] ZoneRecord next(std::vector<VmDescriptor> members) const;

    [[nodiscard]] const std::shared_ptr<const ZoneView> &view() const noexcept
    {
        return this->currentView;
    }
    [[nodiscard]] std::uint64_t epoch() const noexcept;

    /** Returns the kept views before the current one, newest first. */
    [[nodiscard]] const std::vector<std::shared_ptr<const ZoneView>> &earlier() const noexcept
    {
        return this->earlierViews;
    }

    /** Returns the current view and the kept ones before it. */
    [[nodiscard]] ViewHistory history() const;

    /** Returns the record's key in the platform's store. */
    [[nodiscard]] static QByteArray storeKey(const QString &zone);

    /** The prefix of the store's keys of all zones. */
    static constexpr const char *storePrefix = "lacewingmux/zones/";

    [[nodiscard]] QByteArray toJson() const;

    /** Reads what toJson wrote. Throws LacewingmuxError with ErrorKind::ProtocolViolation. */
    [[nodiscard]] static ZoneRecord fromJson(const QByteArray &json);

private:
    std::shared_ptr<const ZoneView> currentView = std::make_shared<ZoneView>();
    std::vector<std::shared_ptr<const ZoneView>> earlierViews; ///< newest first
};

} // namespace lacewingmux
