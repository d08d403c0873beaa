#include "lacewingmux_zone/replication/AppendWindow.h"

#include <iterator>
#include <utility>

namespace lacewingmux {

void AppendWindow::push(Pending entry)
{
    this->entries.push_back(std::move(entry));
}

std::vector<AppendWindow::Pending> AppendWindow::takeThrough(std::uint64_t sequence)
{
    std::vector<Pending> taken;
    while (!this->entries.empty() && this->entries.front().sequence <= sequence) {
        taken.push_back(std::move(this->entries.front()));
        this->entries.pop_front();
    }
    return taken;
}

std::vector<AppendWindow::Pending> AppendWindow::takeAll()
{
    std::vector<Pending> taken(std::make_move_iterator(this->entries.begin()),
                               std::make_move_iterator(this->entries.end()));
    this->entries.clear();
    this->sentThrough = 0;
    return taken;
}

bool AppendWindow::covers(std::uint64_t after, std::uint64_t last) const
{
    if (after >= last)
        return after == last;
    return !this->entries.empty() && this->entries.front().sequence <= after + 1
           && this->entries.back().sequence >= last;
}

std::vector<const AppendWindow::Pending *> AppendWindow::takeUnsent()
{
    std::vector<const Pending *> unsent;
    if (this->entries.empty())
        return unsent;
    const std::uint64_t first = this->entries.front().sequence;
    const std::uint64_t skipped = this->sentThrough < first ? 0 : this->sentThrough - first + 1;
    for (std::size_t index = skipped; index < this->entries.size(); ++index)
        unsent.push_back(&this->entries[index]);
    this->sentThrough = this->entries.back().sequence;
    return unsent;
}

void AppendWindow::resendAfter(std::uint64_t sequence)
{
    this->sentThrough = sequence;
}

std::optional<TimerService::SteadyTime> AppendWindow::oldest() const
{
    if (this->entries.empty())
        return std::nullopt;
    return this->entries.front().appendedAt;
}

} // namespace lacewingmux
