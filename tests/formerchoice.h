// The rule by which hosts chose among the searchers of a pool before LoadEstimate, for comparison.
#pragma once

#include "evenloadsimulation.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

// A load report counts in full for 40 ms, then not at all; the lowest cost plus up to 15 % is
// chosen. Only what the simulation needs: no failures, refusals, limits or warm-up.
class FormerChoice : public ChoiceRule
{
public:
    FormerChoice(const PoolScenario &scenario, const std::vector<bool> &far, Millis zonePenalty,
                 std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < far.size(); ++i) {
            Member member;
            member.slots = scenario.searchers[i].slots;
            member.roundTrip = far[i] ? PoolSimulation::oneWayDelay * 2 : Millis();
            member.zonePenalty = far[i] ? zonePenalty : Millis();
            this->members.push_back(member);
        }
    }

    std::size_t choose(Millis typicalLatency, Millis now) override
    {
        std::size_t best = 0;
        double bestCost = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            const double randomShare = static_cast<double>(this->random() % 1000) / 1000;
            const double cost
                    = this->members[i].cost(typicalLatency, now) * (1 + 0.15 * randomShare);
            if (cost >= bestCost)
                continue;
            best = i;
            bestCost = cost;
        }
        return best;
    }

    void onSent(std::size_t searcher, const AttemptId &attempt, Millis typicalLatency,
                Millis now) override
    {
        this->members[searcher].open.push_back({ attempt, now, typicalLatency });
    }

    void onLoad(std::size_t searcher, const LoadReport &report, Millis now) override
    {
        this->members[searcher].load = report.running + report.waiting;
        this->members[searcher].loadAt = now;
    }

    void onEnd(std::size_t searcher, const AttemptId &attempt, Millis now) override
    {
        Member &member = this->members[searcher];
        const auto ended = std::find_if(member.open.begin(), member.open.end(),
                                        [&](const Open &open) { return open.id == attempt; });
        const double typicalMs = std::max(1.0, ended->typicalLatency.count());
        const double ratio
                = std::max(0.0, (now - ended->sentAt - member.roundTrip).count()) / typicalMs;
        const double previous = member.currentSlowness(now);
        member.slowness = previous + (std::min(ratio, 20.0) - previous) * 0.25;
        member.slownessAt = now;
        member.open.erase(ended);
    }

private:
    struct Open
    {
        AttemptId id;
        Millis sentAt;
        Millis typicalLatency;
    };
    struct Member
    {
        double slots = 1;
        Millis roundTrip;
        Millis zonePenalty;
        std::vector<Open> open;
        double slowness = 1;
        Millis slownessAt;
        double load = 0;
        Millis loadAt = Millis(-1e9);

        double currentSlowness(Millis now) const
        {
            return 1 + (this->slowness - 1) * std::exp2(-((now - this->slownessAt) / Millis(1500)));
        }

        double cost(Millis typicalLatency, Millis now) const
        {
            double ahead = static_cast<double>(this->open.size());
            if (now - this->loadAt < Millis(40))
                ahead = std::max(ahead, this->load);
            const double service
                    = typicalLatency.count() * std::max(0.3, this->currentSlowness(now));
            double cost = service + service * (std::max(0.0, ahead + 1 - this->slots) / this->slots)
                          + this->roundTrip.count() + this->zonePenalty.count();
            cost += service * (0.1 * ahead);
            if (this->open.size() >= 2)
                cost += service;
            const bool isStalled
                    = std::any_of(this->open.begin(), this->open.end(), [&](const Open &attempt) {
                          const Millis limit = std::max(Millis(30), attempt.typicalLatency * 3
                                                                            + this->roundTrip);
                          return now - attempt.sentAt > limit;
                      });
            return cost + (isStalled ? 150 : 0);
        }
    };

    std::vector<Member> members;
    std::minstd_rand random;
};

} // namespace quetzal
