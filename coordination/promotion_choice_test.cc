// Tests of `choose_promotion`, of the takeover row and of `departed_endpoints`.

#include <iterator>

#include "coordination/departed_endpoints.h"
#include "coordination/promotion_choice.h"
#include "coordination/takeover_row.h"
#include "state/record.h"
#include "testing/check.h"

namespace tanagerspan
{
namespace
{

class promotion_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_choice_test);
    CPPUNIT_TEST(every_pair_of_logs_is_compared);
    CPPUNIT_TEST(diverged_log_is_not_complete);
    CPPUNIT_TEST(log_of_stepped_down_primary_is_complete);
    CPPUNIT_TEST(only_target_of_pending_order_is_chosen);
    CPPUNIT_TEST(departed_endpoint_blocks_until_its_log_is_bounded);
    CPPUNIT_TEST(lost_logs_are_no_obstacle);
    CPPUNIT_TEST(one_log_may_be_the_unknown_primarys);
    CPPUNIT_TEST(row_keeps_pending_commands);
    CPPUNIT_TEST(row_survives_encoding);
    CPPUNIT_TEST(departed_endpoint_is_kept);
    CPPUNIT_TEST(recorded_endpoint_that_is_not_listed_has_departed);
    CPPUNIT_TEST(endpoint_that_starts_again_has_lost_its_log);
    CPPUNIT_TEST(record_keeps_the_bound_of_a_departed_endpoint);
    CPPUNIT_TEST(bound_of_departed_endpoints_holds_for_every_candidate);
    CPPUNIT_TEST_SUITE_END();

    static replica_log log_of(std::string id, log_position at, bool fixed)
    {
        return {.id_ = std::move(id),
                .received_ = at,
                .term_ = at.term_,
                .fixed_ = fixed};
    }

    /// Compares all combinations of two endpoints' logs: known or unknown,
    /// fixed or growing, shorter or longer. The log of the chosen endpoint must
    /// contain every change that the other endpoint may have confirmed.
    void every_pair_of_logs_is_compared()
    {
        for (int i = 0; i < 3 * 3 * 16; ++i)
        {
            replica_log a = log_of("a", {1, 4 + std::uint64_t(i % 3)}, i & 16);
            replica_log b =
                log_of("b", {1, 4 + std::uint64_t(i / 3 % 3)}, i & 32);
            if (i & 64)
                b.received_.reset();
            auto got = choose_promotion({.logs_ = {a, b}});
            if (got.id_.empty())
            {
                CPPUNIT_ASSERT(got.why_not_ != promotion_obstacle::none);
                continue;
            }
            const replica_log& chosen = got.id_ == "a" ? a : b;
            const replica_log& other = got.id_ == "a" ? b : a;
            CPPUNIT_ASSERT(other.received_ && other.fixed_);
            CPPUNIT_ASSERT(*chosen.received_ >= *other.received_);
        }
        auto both = choose_promotion(
            {.logs_ = {log_of("a", {1, 4}, true), log_of("b", {1, 5}, true)}});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), both.id_);
        // A third endpoint may have joined.
        auto incomplete = choose_promotion(
            {.logs_ = {log_of("a", {1, 4}, true), log_of("b", {1, 5}, true)},
             .members_complete_ = false});
        CPPUNIT_ASSERT(incomplete.id_.empty() && incomplete.needs_members_);
    }

    // Found by a random walk: a replica that had not yet truncated its diverged
    // log was at a higher position than the replica of the new primary.
    void diverged_log_is_not_complete()
    {
        promotion_evidence known{
            .logs_ = {log_of("a", {2, 20}, true), log_of("b", {1, 12}, true)},
            .floor_ = {1, 12},
            .floor_term_ = 3};
        known.logs_[1].term_ = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known).id_);
        known.logs_.erase(known.logs_.begin() + 1);
        auto got = choose_promotion(known);
        CPPUNIT_ASSERT(got.why_not_ == promotion_obstacle::below_floor);
        known.logs_[0] = log_of("a", {1, 11}, true);
        got = choose_promotion(known);
        CPPUNIT_ASSERT(got.why_not_ == promotion_obstacle::below_floor);
        known.logs_[0] = log_of("a", {3, 13}, true);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_promotion(known).id_);
    }

    // Regression: commits were lost when the primary of term 3 had stepped down
    // and the only replica that answered had stopped in term 1.
    void log_of_stepped_down_primary_is_complete()
    {
        promotion_evidence known{.logs_ = {log_of("p", {3, 212}, false),
                                           log_of("b", {1, 119}, true)},
                                 .stepped_down_ = "p"};
        CPPUNIT_ASSERT_EQUAL(std::string("p"), choose_promotion(known).id_);
        known.logs_[1] = log_of("b", {3, 212}, false);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known).id_);
        // An endpoint that just joined may have confirmed the rest of the term.
        known.logs_[1] = log_of("b", {3, 200}, false);
        known.members_complete_ = false;
        auto got = choose_promotion(known);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), got.id_);
        CPPUNIT_ASSERT(got.needs_members_);
        // No other endpoint confirmed it.
        known.members_complete_ = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known).id_);
        known.logs_.push_back({.id_ = "c"});
        CPPUNIT_ASSERT_EQUAL(std::string("p"), choose_promotion(known).id_);
    }

    void only_target_of_pending_order_is_chosen()
    {
        promotion_evidence known{
            .logs_ = {log_of("a", {1, 9}, true), log_of("b", {1, 9}, true)},
            .ordered_before_ = "b"};
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known).id_);
        known.logs_[0].received_ = log_position{1, 10};
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
    }

    void departed_endpoint_blocks_until_its_log_is_bounded()
    {
        promotion_evidence known{.logs_ = {log_of("a", {1, 9}, true),
                                           {.id_ = "g", .listed_ = false}}};
        auto got = choose_promotion(known);
        CPPUNIT_ASSERT(got.why_not_ == promotion_obstacle::log_unknown);
        known.logs_[1].received_bound_ = log_position{1, 10};
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
        known.logs_[1].received_bound_ = log_position{1, 9};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_promotion(known).id_);
        // The departed endpoint answers, and its log is longer than any log
        // that can be promoted.
        known.logs_[1] = log_of("g", {1, 11}, true);
        known.logs_[1].listed_ = false;
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
    }

    // Guards against a service that stays without a primary (RECOVER): the log
    // of an endpoint that had left was never read, and nothing bounded it.
    void lost_logs_are_no_obstacle()
    {
        promotion_evidence known{.logs_ = {log_of("a", {1, 9}, true),
                                           {.id_ = "g", .listed_ = false}},
                                 .departed_bound_ = {1, 10},
                                 .unread_logs_lost_ = true};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_promotion(known).id_);
        // A listed endpoint runs, or its entry lapses soon.
        known.logs_[1].listed_ = true;
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
        // A log that was read is not lost.
        known.logs_[1] = log_of("g", {1, 11}, true);
        known.logs_[1].listed_ = false;
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
    }

    // A host that started while no primary was listed knows of the primary only
    // that it has departed.
    void one_log_may_be_the_unknown_primarys()
    {
        promotion_evidence known{.logs_ = {log_of("a", {1, 9}, true),
                                           log_of("b", {1, 8}, true),
                                           {.id_ = "p", .listed_ = false}},
                                 .primary_unknown_ = true};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_promotion(known).id_);
        // One of the two may have confirmed changes.
        known.logs_.push_back({.id_ = "q", .listed_ = false});
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
        known.logs_.pop_back();
        known.primary_unknown_ = false;
        CPPUNIT_ASSERT(choose_promotion(known).id_.empty());
    }

    // Regressions: a second claim dropped the pending order of the first one,
    // and the age of an order counted from its first sending.
    void row_keeps_pending_commands()
    {
        constexpr std::int64_t lease = 6000;
        takeover_row row = make_claim_row({}, 0, "h1");
        row = make_order_row(row, "a", 2, {1, 9}, lease);
        takeover_row second = make_claim_row(row, 8000, "h2");
        takeover_row third = make_claim_row(second, 8000, "h3");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, third.token_);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), third.ordered_);
        CPPUNIT_ASSERT(third.floor_ == (log_position{1, 9}));
        auto pending = pending_commands_of(third, 3999);
        CPPUNIT_ASSERT(pending.ordered_ == "a");
        pending = pending_commands_of(third, 4000);
        CPPUNIT_ASSERT(!pending.ordered_);
        // The next order replaces the earlier one.
        takeover_row fence = make_order_row(third, "a", 2, {}, lease);
        CPPUNIT_ASSERT(fence.floor_ == (log_position{1, 9}));
        takeover_row end = make_end_row(fence, "a", {.resumed_ = {"b"}}, 0);
        CPPUNIT_ASSERT(!pending_commands_of(end, 0).ordered_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             pending_commands_of(end, 0).resumed_.size());
        CPPUNIT_ASSERT(
            pending_commands_of(end, max_command_delay_ms).resumed_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, end.term_);
    }

    void row_survives_encoding()
    {
        takeover_row row{.token_ = 7,
                         .holder_ = "h",
                         .endpoint_ = "a",
                         .stage_ = "ordered",
                         .ordered_ = "a",
                         .ordered_age_ms_ = -6000,
                         .floor_ = {3, 12},
                         .term_ = 4,
                         .resumed_ = {"b"},
                         .resumed_age_ms_ = 12};
        auto got = decode_text<takeover_row>(encode(row).dump());
        CPPUNIT_ASSERT(got.has_value());
        CPPUNIT_ASSERT(encode(*got) == encode(row));
        CPPUNIT_ASSERT_EQUAL(row.term_, got->term_);
        CPPUNIT_ASSERT(row.floor_ == got->floor_);
    }

    void departed_endpoint_is_kept()
    {
        departed_endpoints departed({});
        std::vector<endpoint_entry> listed{{.id_ = "a", .address_ = "x:1"},
                                           {.id_ = "b", .address_ = "x:2"}};
        instant now{1000};
        departed.update(listed, now);
        CPPUNIT_ASSERT(departed.members().empty());
        endpoint_entry b = listed.back();
        listed.pop_back();
        departed.update(listed, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, departed.members().size());
        CPPUNIT_ASSERT(departed.find("b") != nullptr);
        // The endpoint may still confirm changes at that time, so the mark does
        // not bound its log.
        std::vector<freshness_mark> marks{{now + 9000, {1, 5}}};
        departed.bound_logs(marks);
        CPPUNIT_ASSERT(!departed.members()[0].received_bound_);
        marks.push_back({now + 10'001, {1, 6}});
        marks.push_back({now + 11'000, {1, 7}});
        departed.bound_logs(marks);
        CPPUNIT_ASSERT(departed.members()[0].received_bound_ ==
                       (log_position{1, 6}));
        // An endpoint at the same address is the successor.
        listed.push_back({.id_ = "c", .address_ = b.address_});
        departed.update(listed, now);
        CPPUNIT_ASSERT(departed.members().empty());
    }

    // Guards against the loss of an acknowledged change (LOST): a host that
    // started after an endpoint had left did not know that this endpoint alone
    // had confirmed changes.
    void recorded_endpoint_that_is_not_listed_has_departed()
    {
        std::vector<endpoint_entry> listed{{.id_ = "a", .address_ = "x:1"},
                                           {.id_ = "b", .address_ = "x:2"}};
        instant now{1000};
        departed_endpoints earlier({});
        earlier.update(listed, now);
        member_record stored = earlier.record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.endpoints_.size());
        listed.pop_back();
        earlier.update(listed, now);
        // It stays in the record until its log is bounded.
        CPPUNIT_ASSERT(earlier.record() == stored);
        departed_endpoints later({});
        later.update(listed, now);
        later.merge(stored, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later.members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), later.members()[0].id_);
        CPPUNIT_ASSERT(later.find("b") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("x:2"), later.find("b")->address_);
        // A successor at its address has its log.
        listed.push_back({.id_ = "c", .address_ = "x:2"});
        departed_endpoints after_a_transfer({});
        after_a_transfer.update(listed, now);
        after_a_transfer.merge(stored, now);
        CPPUNIT_ASSERT(after_a_transfer.members().empty());
    }

    // Guards against the loss of an acknowledged change (LOST): a replica that
    // started again under its id with nothing counted as its former log.
    void endpoint_that_starts_again_has_lost_its_log()
    {
        std::vector<endpoint_entry> listed{
            {.id_ = "a", .address_ = "x:1", .started_ms_ = 1}};
        instant now{1000};
        departed_endpoints departed({});
        departed.update(listed, now);
        listed[0].started_ms_ = 2;
        departed.update(listed, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, departed.members().size());
        CPPUNIT_ASSERT_EQUAL(std::string("a@1"), departed.members()[0].id_);
        CPPUNIT_ASSERT(departed.find("a@1") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             departed.record().endpoints_.size());
        departed_endpoints later({});
        later.update(listed, now);
        later.merge(departed.record(), now);
        later.merge(departed.record(), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later.members().size());
        // The second start departs, too. Only that one can be asked.
        departed.update({}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, departed.members().size());
        CPPUNIT_ASSERT(departed.find("a") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, departed.find("a")->started_ms_);
        departed.bound_logs(
            std::vector<freshness_mark>{{now + 10'001, {1, 6}}});
        CPPUNIT_ASSERT(departed.record().endpoints_.empty());
    }

    // A host that starts after the record was cleared gets the bound only.
    void record_keeps_the_bound_of_a_departed_endpoint()
    {
        std::vector<endpoint_entry> listed{{.id_ = "a", .address_ = "x:1"}};
        instant now{1000};
        departed_endpoints departed({});
        departed.update(listed, now);
        departed.merge({.endpoints_ = {{.id_ = "b", .address_ = "x:2"}}}, now);
        CPPUNIT_ASSERT(!departed.needs_mark(now + 9000));
        CPPUNIT_ASSERT(departed.needs_mark(now + 10'001));
        std::vector<freshness_mark> marks{{now + 10'001, {1, 6}}};
        departed.bound_logs(marks);
        CPPUNIT_ASSERT(!departed.needs_mark(now + 20'000));
        member_record stored = departed.record();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.endpoints_.size());
        CPPUNIT_ASSERT(stored.bound_ == (log_position{1, 6}));
        auto decoded = decode_text<member_record>(encode(stored).dump());
        CPPUNIT_ASSERT(decoded && *decoded == stored);
        departed_endpoints later({});
        later.update(listed, now);
        later.merge(stored, now);
        CPPUNIT_ASSERT(later.members().empty());
        CPPUNIT_ASSERT(later.bound() == (log_position{1, 6}));
    }

    // The log of the primary contains what any endpoint received.
    void bound_of_departed_endpoints_holds_for_every_candidate()
    {
        promotion_evidence known{.logs_ = {log_of("a", {1, 9}, true)},
                                 .departed_bound_ = {1, 10}};
        auto got = choose_promotion(known);
        CPPUNIT_ASSERT(got.why_not_ == promotion_obstacle::log_unknown);
        known.departed_bound_ = {1, 9};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose_promotion(known).id_);
        known = {.logs_ = {log_of("p", {1, 9}, false)},
                 .stepped_down_ = "p",
                 .departed_bound_ = {1, 10}};
        CPPUNIT_ASSERT_EQUAL(std::string("p"), choose_promotion(known).id_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_choice_test);

} // namespace
} // namespace tanagerspan
