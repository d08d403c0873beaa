#pragma once

#include <QString>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/**
    An identifier of a program or request that the system itself made.

    The text carries the home zone, the epoch of that zone's view and the incarnation of the VM
    that minted it. So a VM that lacks the aggregate can tell an id that existed from one that
    never did, and any VM can find the home zone without a lookup.

    Text form: "zone~epoch~incarnation~vm~serial", numbers in base 36.
*/
class MintedId
{
public:
    MintedId(QString homeZone, std::uint64_t zoneEpoch, QString minterVm,
             std::uint64_t minterIncarnation, std::uint64_t serialNumber);

    /** Parses the text form; returns nothing when the text is not a minted id. */
    [[nodiscard]] static std::optional<MintedId> parse(const QString &text);

    [[nodiscard]] QString toString() const;

    [[nodiscard]] const QString &zone() const noexcept
    {
        return this->homeZone;
    }
    [[nodiscard]] std::uint64_t epoch() const noexcept
    {
        return this->zoneEpoch;
    }
    [[nodiscard]] const QString &vm() const noexcept
    {
        return this->minterVm;
    }
    [[nodiscard]] std::uint64_t incarnation() const noexcept
    {
        return this->minterIncarnation;
    }
    [[nodiscard]] std::uint64_t serial() const noexcept
    {
        return this->serialNumber;
    }

    friend bool operator==(const MintedId &, const MintedId &) = default;

private:
    QString homeZone;
    std::uint64_t zoneEpoch;
    QString minterVm;
    std::uint64_t minterIncarnation;
    std::uint64_t serialNumber;
};

} // namespace lacewingmux
