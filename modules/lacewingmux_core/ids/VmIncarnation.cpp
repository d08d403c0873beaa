#include "lacewingmux_core/ids/VmIncarnation.h"

#include <QHash>

#include <tuple>

namespace lacewingmux {

QString VmIncarnation::toString() const
{
    return this->zone + u'/' + this->vm + u'#' + QString::number(this->incarnation);
}

bool operator<(const VmIncarnation &left, const VmIncarnation &right) noexcept
{
    return std::tie(left.zone, left.vm, left.incarnation)
           < std::tie(right.zone, right.vm, right.incarnation);
}

std::size_t qHash(const VmIncarnation &vm, std::size_t seed) noexcept
{
    return qHashMulti(seed, vm.vm, vm.zone, vm.incarnation);
}

} // namespace lacewingmux
