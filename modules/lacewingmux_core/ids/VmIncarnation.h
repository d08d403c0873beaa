#pragma once

#include <QString>

#include <compare>
#include <cstdint>

namespace lacewingmux {

/**
    One run of the daemon on one VM.

    A VM that restarts is a new incarnation: it has lost its memory, so nothing that was promised
    to or by the earlier incarnation may be expected of it.
*/
struct VmIncarnation
{
    QString vm;                    ///< name of the VM, unique in the fleet
    QString zone;                  ///< availability zone of the VM
    std::uint64_t incarnation = 0; ///< grows with each start; the start time in microseconds

    /** Returns "zone/vm#incarnation", for logs. */
    [[nodiscard]] QString toString() const;

    friend bool operator==(const VmIncarnation &, const VmIncarnation &) = default;
    friend bool operator<(const VmIncarnation &left, const VmIncarnation &right) noexcept;
};

[[nodiscard]] std::size_t qHash(const VmIncarnation &vm, std::size_t seed = 0) noexcept;

} // namespace lacewingmux

template <>
struct std::hash<lacewingmux::VmIncarnation>
{
    std::size_t operator()(const lacewingmux::VmIncarnation &vm) const noexcept
    {
        return lacewingmux::qHash(vm);
    }
};
