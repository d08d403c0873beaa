#pragma once

#include "events/BackendRun.h"
#include "events/CallerAttempt.h"
#include "events/Violation.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <vector>

/*
 * The invariants as pure functions over what callers and backend servers saw. Each returns what it
 * found broken; an empty list means that the invariant held. Runs belong to attempts by the marker
 * that the caller put into the request; attempts without one are left out.
 */

/** A request that is not idempotent ran at most once, over all of its attempts. */
[[nodiscard]] std::vector<Violation> checkAtMostOnce(const std::vector<CallerAttempt> &attempts,
                                                     const std::vector<BackendRun> &runs);

/** A refusal that said "not run" was true: no more runs than attempts that did not say so. */
[[nodiscard]] std::vector<Violation> checkNotRunIsTrue(const std::vector<CallerAttempt> &attempts,
                                                       const std::vector<BackendRun> &runs);

/** An answer carries its own marker, no other one, and is the same for every attempt. */
[[nodiscard]] std::vector<Violation> checkAnswersAreOwn(const std::vector<CallerAttempt> &attempts);

/** Each call of a program started only after the one before it had been answered. */
[[nodiscard]] std::vector<Violation> checkOrder(const std::vector<CallerAttempt> &attempts,
                                                const std::vector<BackendRun> &runs);

/** The history of a program holds each answered call, in order, and nothing of another program. */
[[nodiscard]] std::vector<Violation> checkHistory(const std::vector<CallerAttempt> &attempts,
                                                  const QString &program,
                                                  const QByteArray &history);

/** No backend server saw any of the keys. */
[[nodiscard]] std::vector<Violation> checkNoKeySeen(const std::vector<BackendRun> &runs,
                                                    const std::vector<QByteArray> &keys);

/** In every window of length t, the team's admitted requests were at most burst + rate * t. */
[[nodiscard]] std::vector<Violation> checkRate(const std::vector<CallerAttempt> &attempts,
                                               const QString &team, double requestsPerSecond,
                                               double burst);

/** A refusal that makes sense to retry says when to come back. */
[[nodiscard]] std::vector<Violation>
checkRefusalsTellWhenToReturn(const std::vector<CallerAttempt> &attempts);
