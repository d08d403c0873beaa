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
    The record of a zone in the platform's store: its current view and the previous views.

    JSON: {"zone", "epoch", "members": [{"vm", "incarnation", "address", "controlPort",
    "trafficPort", "dataFolder"}], "history": [{"epoch", "members"}]}. 64-bit numbers are
    written as strings, since JSON numbers keep only 53 bits.
*/
class ZoneRecord
{
public:
    /** Maximum number of previous views that the record keeps. */
    static constexpr std::size_t maxPreviousViews = 8;

    ZoneRecord() = default;

    /** Creates the first record of a zone, at epoch 1. */
    ZoneRecord(const QString &zone, std::vector<VmDescriptor> members);

    /** Creates a record from its current view and the previous ones, newest first. */
    ZoneRecord(std::shared_ptr<const ZoneView> view,
               std::vector<std::shared_ptr<const ZoneView>> viewsBefore);

    /** Returns the record for the next epoch with the given members. */
    [[nodiscard]] ZoneRecord next(std::vector<VmDescriptor> members) const;

    [[nodiscard]] const std::shared_ptr<const ZoneView> &view() const noexcept
    {
        return this->currentView;
    }
    [[nodiscard]] std::uint64_t epoch() const noexcept;

    /** Returns the views kept before the current one, newest first. */
    [[nodiscard]] const std::vector<std::shared_ptr<const ZoneView>> &previousViews() const noexcept
    {
        return this->earlierViews;
    }

    /** Returns the current view and the previous ones. */
    [[nodiscard]] ViewHistory history() const;

    /** Returns the record's key in the platform's store. */
    [[nodiscard]] static QByteArray storeKey(const QString &zone);

    /** The prefix of all zones' keys in the store. */
    static constexpr const char *storePrefix = "lacewingmux/zones/";

    [[nodiscard]] QByteArray toJson() const;

    /** Parses the output of toJson(). Throws LacewingmuxError with ErrorKind::ProtocolViolation. */
    [[nodiscard]] static ZoneRecord fromJson(const QByteArray &json);

private:
    std::shared_ptr<const ZoneView> currentView = std::make_shared<ZoneView>();
    std::vector<std::shared_ptr<const ZoneView>> earlierViews; ///< newest first
};

} // namespace lacewingmux
