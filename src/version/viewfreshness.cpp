#include "version/viewfreshness.h"

namespace quetzal {

// Longest time for which a source may hold a call open while another host confirms the view.
static constexpr Millis maxConfirmedWait = Millis(25'000);
// The following are fractions of the time within which a change is to be in force. A single lost
// confirmation causes no doubt, and the last host in rank has time left to ask its source.
static constexpr double confirmationPeriod = 0.25;
static constexpr double minDoubtAge = 0.55;
static constexpr double doubtAgePerRank = 0.05;
static constexpr std::size_t maxDelayingRank = 5;

Millis ViewFreshness::age(Millis now) const
{
    const Millis confirmedAt = std::max(this->sourceAt, this->peerAt);
    return confirmedAt < this->pausedUntil ? Millis::never() : now - confirmedAt;
}

Millis ViewFreshness::doubtAge() const
{
    const auto delayingRank = static_cast<double>(std::min(this->rank, maxDelayingRank));
    return this->changeDeadline * (minDoubtAge + doubtAgePerRank * delayingRank);
}

bool ViewFreshness::isConfirmer(Millis now) const
{
    return this->rank == 0 || now - this->peerAt > this->changeDeadline * minDoubtAge;
}

Millis ViewFreshness::maxCallWait(Millis now) const
{
    return this->isConfirmer(now) ? this->changeDeadline * confirmationPeriod : maxConfirmedWait;
}

bool ViewFreshness::takeDoubt(Millis now)
{
    // An answer to the previous question may still arrive.
    const bool isRepeat = now - this->doubtedAt < this->changeDeadline * minDoubtAge;
    if (isRepeat || this->age(now) <= this->doubtAge())
        return false;
    this->doubtedAt = now;
    return true;
}

bool ViewFreshness::takeConfirmation(Millis now)
{
    const bool isNew
            = this->sourceAt - this->announcedAt >= this->changeDeadline * (confirmationPeriod / 2);
    if (!isNew || !this->isConfirmer(now) || this->age(now) > this->changeDeadline)
        return false;
    this->announcedAt = this->sourceAt;
    return true;
}

} // namespace quetzal
