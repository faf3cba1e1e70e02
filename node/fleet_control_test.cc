// Tests of fleet_control against a store with failures.

#include <chrono>
#include <optional>
#include <string>

#include "node/fleet_control.h"
#include "stand_ins/watched_store.h"
#include "testing/check.h"
#include "transport/monotonic_clock.h"

namespace tanagerspan
{
namespace
{

constexpr std::int64_t settings_bound_ms = 3000;
// Shorter than in use, to shorten the tests.
constexpr std::int64_t drain_ms = 3000;
constexpr std::int64_t delivery_ms = 500;
constexpr std::int64_t takeover_bound_ms = 3000;
constexpr std::int64_t keep_missing_entry_ms = 300;
constexpr std::int64_t quick_ms = 500;

struct no_promotions final : promotion_service
{
    void promote(const promotion_order&, order_handler) override
    {
    }
};

/// Settings in these tests are their version number.
result<route_table> parse_version(std::string_view text)
{
    return route_table{.version_ = std::stoll(std::string(text))};
}

/// Entries are "ready", "leaving" or "restarted"; others are invalid.
result<endpoint_entry> parse_state(std::string_view id, std::string_view text,
                                   std::int64_t row_version)
{
    if (text == "odd")
        return fail(error_code::malformed, "odd " + std::string(id));
    return endpoint_entry{.id_ = std::string(id),
                          .service_ = "orders",
                          .started_ms_ = text == "restarted" ? 2 : 1,
                          .leaving_ = text == "leaving",
                          .row_version_ = row_version};
}

class fleet_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_control_test);
    CPPUNIT_TEST(settings_are_applied_in_time_after_a_lost_watch);
    CPPUNIT_TEST(leave_is_read_in_time_after_a_lost_watch);
    CPPUNIT_TEST(leave_behind_a_held_up_watch_counts_from_before);
    CPPUNIT_TEST(leave_that_is_read_at_once_leaves_time_for_a_takeover);
    CPPUNIT_TEST(endpoint_that_left_before_the_start_gets_no_work);
    CPPUNIT_TEST(leave_that_is_written_again_counts_from_before_the_restore);
    CPPUNIT_TEST(missing_entry_behind_a_held_up_watch_is_removed_in_time);
    CPPUNIT_TEST(missing_entry_is_kept_after_an_absence_of_the_store);
    CPPUNIT_TEST(takeover_is_read_in_time_after_a_lost_watch);
    CPPUNIT_TEST(settings_are_read_after_a_restore);
    CPPUNIT_TEST(leave_outlasts_a_restore);
    CPPUNIT_TEST(restarted_endpoint_is_not_leaving);
    CPPUNIT_TEST(odd_entries_do_not_stop_the_others);
    CPPUNIT_TEST(odd_entry_in_place_of_a_good_one_counts_as_missing);
    CPPUNIT_TEST(restore_does_not_bring_back_an_endpoint_that_left);
    CPPUNIT_TEST(restore_brings_back_an_entry_that_lapsed);
    CPPUNIT_TEST(endpoint_that_left_can_start_again);
    CPPUNIT_TEST(pending_promotion_is_published_until_it_is_done);
    CPPUNIT_TEST(lost_takeover_row_is_written_back);
    CPPUNIT_TEST(earlier_takeover_row_is_replaced);
    CPPUNIT_TEST(later_takeover_row_is_kept);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context loop_{1};
    watched_store store_{loop_};
    no_promotions promotions_;
    std::int64_t applied_version_ = 0;
    endpoint_list endpoints_;
    std::string promoted_;
    pending_promotion pending_;
    std::unique_ptr<fleet_control> control_;

public:
    void setUp() override
    {
        make_control({.keep_missing_entry_ms_ = keep_missing_entry_ms});
    }

private:
    struct variant
    {
        std::int64_t keep_missing_entry_ms_ = 0;
    };

    void make_control(const variant& differing)
    {
        control_ = std::make_unique<fleet_control>(
            loop_, store_, promotions_,
            fleet_control::options{.own_ = {"host-1", "dc-1", "10.0.0.1:7000"},
                                   .format_ = {.settings_table_ = "settings",
                                               .settings_key_ = "all",
                                               .endpoints_table_ = "endpoints",
                                               .parse_routes_ = parse_version,
                                               .parse_endpoint_ = parse_state},
                                   .keep_missing_entry_ms_ =
                                       differing.keep_missing_entry_ms_,
                                   .drain_ms_ = drain_ms,
                                   .delivery_ms_ = delivery_ms,
                                   .takeover_bound_ms_ = takeover_bound_ms},
            fleet_control::outputs{
                .routes_ =
                    [this](const route_table_ptr& routes)
                {
                    applied_version_ = routes->version_;
                },
                .endpoints_ =
                    [this](const endpoint_list_ptr& endpoints,
                           const home_plan_ptr&)
                {
                    endpoints_ = *endpoints;
                },
                .promoted_ =
                    [this](const std::string&, const std::string& primary,
                           std::int64_t)
                {
                    promoted_ = primary;
                },
                .promotion_pending_ =
                    [this](const std::string&, const pending_promotion& order)
                {
                    pending_ = order;
                }});
    }

    void run_for(std::int64_t duration_ms)
    {
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(duration_ms));
    }

    /// Runs until `reached`, at most for `limit_ms`.
    template <class Condition>
    void assert_within(std::int64_t limit_ms, Condition reached)
    {
        instant end = monotonic_now() + limit_ms;
        while (!reached() && monotonic_now() <= end)
            run_for(5);
        CPPUNIT_ASSERT(reached());
    }

    void assert_applied(std::int64_t version, std::int64_t limit_ms)
    {
        assert_within(limit_ms,
                      [&]
                      {
                          return applied_version_ == version;
                      });
    }

    void assert_promoted(const std::string& id, std::int64_t limit_ms)
    {
        assert_within(limit_ms,
                      [&]
                      {
                          return promoted_ == id;
                      });
    }

    /// Starts with one endpoint and one change of each table, after which the
    /// next watch is lost.
    void lose_watches_after_changes()
    {
        constexpr std::int64_t longest_delay_ms = 500;
        store_.put("settings", "all", "1");
        store_.put("endpoints", "e-1", "ready");
        control_->start();
        assert_applied(1, quick_ms);
        store_.put("settings", "all", "2");
        store_.put("endpoints", "e-1", "ready");
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(1, "e-1"));
        store_.set_silent(true);
        run_for(longest_delay_ms + 100);
        assert_applied(2, 0);
        assert_promoted("e-1", 0);
        store_.set_silent(false);
    }

    static std::string done_row(std::int64_t token, const std::string& primary)
    {
        takeover_row row{.token_ = token,
                         .holder_ = "host-2",
                         .endpoint_ = primary,
                         .stage_ = "done"};
        return encode(row).dump();
    }

    // Regression: a watch that the store never answered left changes of the
    // settings unread until the watch timed out, 29.5 s after it was sent.
    void settings_are_applied_in_time_after_a_lost_watch()
    {
        lose_watches_after_changes();
        store_.put("settings", "all", "3");
        assert_applied(3, settings_bound_ms);
    }

    // Regression: as above, for the entries of endpoints. A leave that was read
    // late leaves less time for the endpoint's use.
    void leave_is_read_in_time_after_a_lost_watch()
    {
        lose_watches_after_changes();
        instant left_at = monotonic_now();
        store_.put("endpoints", "e-1", "leaving");
        assert_within(drain_ms,
                      [this]
                      {
                          return is_leaving();
                      });
        assert_use_ends_in_time(left_at);
    }

    /// A statement that is allowed until the last moment reaches the endpoint
    /// within the drain period.
    void assert_use_ends_in_time(instant left_at) const
    {
        CPPUNIT_ASSERT(endpoints_.front().use_until_ <=
                       left_at + (drain_ms - delivery_ms));
    }

    void assert_is_leaving_within(std::int64_t limit_ms)
    {
        assert_within(limit_ms,
                      [this]
                      {
                          return is_leaving();
                      });
    }

    // Guards against use of an endpoint after its drain period: the watch that
    // returned the leave was held up without a failure.
    void leave_behind_a_held_up_watch_counts_from_before()
    {
        constexpr std::int64_t hold_ms = 1200; // shorter than any timeout
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.put("endpoints", "e-1", "ready");
        run_for(100);
        // The next watch is sent after a delay, that is, while calls are held.
        store_.set_held(true);
        instant left_at = monotonic_now();
        store_.put("endpoints", "e-1", "leaving");
        run_for(hold_ms);
        store_.set_held(false);
        assert_is_leaving_within(quick_ms);
        assert_use_ends_in_time(left_at);
    }

    // A primary that leaves serves until another one is promoted.
    void leave_that_is_read_at_once_leaves_time_for_a_takeover()
    {
        constexpr std::int64_t answer_interval_ms = 1000;
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        run_for(answer_interval_ms + quick_ms);
        store_.put("endpoints", "e-1", "leaving");
        assert_is_leaving_within(quick_ms);
        CPPUNIT_ASSERT(endpoints_.front().use_until_ - monotonic_now() >=
                       drain_ms - delivery_ms - answer_interval_ms - 50);
    }

    // Guards against use of an endpoint after its drain period: its entry was
    // removed, and the watch that returned this was held up.
    void missing_entry_behind_a_held_up_watch_is_removed_in_time()
    {
        constexpr std::int64_t hold_ms = 1200; // shorter than any timeout
        make_control({.keep_missing_entry_ms_ = 2500});
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.put("endpoints", "e-1", "ready");
        run_for(100);
        store_.set_held(true);
        instant left_at = monotonic_now();
        store_.remove("endpoints", "e-1");
        run_for(hold_ms);
        store_.set_held(false);
        assert_within(drain_ms - delivery_ms - (monotonic_now() - left_at),
                      [this]
                      {
                          return endpoints_.empty();
                      });
    }

    // Entries expire while the store is away, and their endpoints live.
    void missing_entry_is_kept_after_an_absence_of_the_store()
    {
        constexpr std::int64_t absence_ms = 3500;
        constexpr std::int64_t longest_backoff_ms = 800;
        constexpr std::int64_t keep_ms = 2500;
        make_control({.keep_missing_entry_ms_ = keep_ms});
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.set_silent(true);
        run_for(absence_ms);
        store_.remove("endpoints", "e-1");
        store_.set_silent(false);
        run_for(keep_ms - quick_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_.size());
        assert_within(table_store::answer_margin_ms + longest_backoff_ms +
                          2 * quick_ms,
                      [this]
                      {
                          return endpoints_.empty();
                      });
    }

    // Guards against use of an endpoint after its drain period by a host that
    // starts and does not know when the endpoint's leave was confirmed.
    void endpoint_that_left_before_the_start_gets_no_work()
    {
        store_.put("endpoints", "e-1", "leaving");
        start_with_settings("1");
        CPPUNIT_ASSERT(is_leaving());
        CPPUNIT_ASSERT(endpoints_.front().use_until_ <= monotonic_now());
    }

    // Guards against use of an endpoint after its drain period: a restore lost
    // the row of its leave before this host read it, and the endpoint wrote it
    // again.
    void leave_that_is_written_again_counts_from_before_the_restore()
    {
        constexpr std::int64_t rewrite_ms = 1500;
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.put("endpoints", "e-1", "ready");
        run_for(100);
        store_.save_copy();
        instant left_at = monotonic_now();
        store_.put("endpoints", "e-1", "leaving");
        store_.restore();
        run_for(rewrite_ms);
        CPPUNIT_ASSERT(!is_leaving());
        store_.put("endpoints", "e-1", "leaving");
        assert_is_leaving_within(fleet_control::max_entry_delay_ms + quick_ms);
        assert_use_ends_in_time(left_at);
    }

    // Regression: as above, for the rows of takeovers.
    void takeover_is_read_in_time_after_a_lost_watch()
    {
        lose_watches_after_changes();
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(2, "e-2"));
        assert_promoted("e-2", takeover_bound_ms);
    }

    void start_with_settings(const std::string& version)
    {
        store_.put("settings", "all", version);
        control_->start();
        assert_applied(std::stoll(version), quick_ms);
    }

    std::optional<takeover_row> stored_takeover() const
    {
        auto row = store_.find(fleet_control::promotions_table, "orders");
        if (!row)
            return std::nullopt;
        return *decode_text<takeover_row>(row->value_);
    }

    // The numbers of the restored store pass the position of the watch, which
    // stays unanswered.
    void settings_are_read_after_a_restore()
    {
        start_with_settings("1");
        store_.save_copy();
        store_.put("settings", "all", "2");
        assert_applied(2, quick_ms);
        store_.restore();
        store_.put("settings", "all", "3");
        for (int other_rows = 0; other_rows < 5; ++other_rows)
            store_.put("others", "x", "y");
        assert_applied(3, quick_ms);
    }

    bool is_leaving() const
    {
        return !endpoints_.empty() && endpoints_.front().leaving_;
    }

    // Regression: an entry from the copy said that the endpoint is ready, and
    // the drain period began anew when the endpoint wrote its leave again.
    void leave_outlasts_a_restore()
    {
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.save_copy();
        store_.put("endpoints", "e-1", "leaving");
        assert_within(quick_ms,
                      [this]
                      {
                          return is_leaving();
                      });
        store_.restore();
        run_for(quick_ms);
        CPPUNIT_ASSERT(is_leaving());
    }

    void restarted_endpoint_is_not_leaving()
    {
        store_.put("endpoints", "e-1", "leaving");
        start_with_settings("1");
        CPPUNIT_ASSERT(is_leaving());
        store_.put("endpoints", "e-1", "restarted");
        assert_within(quick_ms,
                      [this]
                      {
                          return !is_leaving();
                      });
    }

    // Guards against hosts that stop following the entries because of an odd
    // one.
    void odd_entries_do_not_stop_the_others()
    {
        store_.put("endpoints", "e-1", "ready");
        store_.put("endpoints", std::string(200, '\xff'), "odd");
        start_with_settings("1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_.size());
        store_.put("endpoints", "e-0", "odd");
        store_.put("endpoints", "e-1", "leaving");
        assert_is_leaving_within(fleet_control::max_entry_delay_ms + quick_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_.size());
    }

    // An endpoint whose entry another writer has replaced writes it again with
    // its next report, unless it is gone.
    void odd_entry_in_place_of_a_good_one_counts_as_missing()
    {
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.put("endpoints", "e-1", "odd");
        assert_within(fleet_control::max_entry_delay_ms +
                          keep_missing_entry_ms + quick_ms,
                      [this]
                      {
                          return endpoints_.empty();
                      });
        store_.put("endpoints", "e-1", "ready");
        assert_within(fleet_control::max_entry_delay_ms + quick_ms,
                      [this]
                      {
                          return endpoints_.size() == 1;
                      });
        // Meanwhile the endpoint is used.
        store_.put("endpoints", "e-1", "odd");
        store_.put("endpoints", "e-1", "ready");
        run_for(fleet_control::max_entry_delay_ms + keep_missing_entry_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_.size());
    }

    /// One endpoint leaves and is gone; the copy of the store is older.
    void lose_endpoint_after_copy(const std::string& last_entry)
    {
        store_.put("endpoints", "e-1", "ready");
        start_with_settings("1");
        store_.save_copy();
        store_.put("endpoints", "e-1", last_entry);
        run_for(quick_ms + 100);
        CPPUNIT_ASSERT(!endpoints_.empty());
        store_.remove("endpoints", "e-1");
        assert_within(2 * keep_missing_entry_ms + drain_ms,
                      [this]
                      {
                          return endpoints_.empty();
                      });
    }

    // Regression: the entry from the copy counted as a member of its group,
    // whose takeovers then waited for an endpoint that was gone.
    void restore_does_not_bring_back_an_endpoint_that_left()
    {
        lose_endpoint_after_copy("leaving");
        store_.restore();
        run_for(quick_ms);
        CPPUNIT_ASSERT(endpoints_.empty());
    }

    // An endpoint whose entry lapsed without a leave may be running.
    void restore_brings_back_an_entry_that_lapsed()
    {
        lose_endpoint_after_copy("ready");
        store_.restore();
        run_for(quick_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints_.size());
    }

    void endpoint_that_left_can_start_again()
    {
        lose_endpoint_after_copy("leaving");
        store_.put("endpoints", "e-1", "restarted");
        assert_within(fleet_control::max_entry_delay_ms + quick_ms,
                      [this]
                      {
                          return endpoints_.size() == 1;
                      });
    }

    void pending_promotion_is_published_until_it_is_done()
    {
        constexpr std::int64_t sent_ms_ago = 2000;
        start_with_settings("1");
        takeover_row row{.token_ = 1,
                         .holder_ = "host-2",
                         .endpoint_ = "e-2",
                         .stage_ = "ordered",
                         .ordered_ = "e-2",
                         .ordered_age_ms_ = sent_ms_ago};
        instant written_at = monotonic_now();
        store_.put(fleet_control::promotions_table, "orders",
                   encode(row).dump());
        run_for(quick_ms);
        CPPUNIT_ASSERT_EQUAL(std::string("e-2"), pending_.endpoint_id_);
        CPPUNIT_ASSERT(pending_.until_ >=
                       written_at + (max_command_delay_ms - sent_ms_ago));
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(1, "e-2"));
        run_for(quick_ms);
        CPPUNIT_ASSERT(pending_.endpoint_id_.empty());
    }

    // Regression: after a restore without the row of a takeover, each claim
    // expected the row's lost version, and no primary could be promoted.
    void lost_takeover_row_is_written_back()
    {
        start_with_settings("1");
        store_.save_copy();
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(7, "e-2"));
        assert_promoted("e-2", quick_ms);
        store_.restore();
        assert_within(takeover_bound_ms,
                      [this]
                      {
                          return stored_takeover().has_value();
                      });
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, stored_takeover()->token_);
        CPPUNIT_ASSERT_EQUAL(std::string("e-2"), stored_takeover()->endpoint_);
    }

    void earlier_takeover_row_is_replaced()
    {
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(6, "e-1"));
        start_with_settings("1");
        assert_promoted("e-1", quick_ms);
        store_.save_copy();
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(7, "e-2"));
        assert_promoted("e-2", quick_ms);
        store_.restore();
        assert_within(takeover_bound_ms,
                      [this]
                      {
                          return stored_takeover()->token_ == 7;
                      });
        CPPUNIT_ASSERT_EQUAL(std::string("e-2"), promoted_);
    }

    void later_takeover_row_is_kept()
    {
        start_with_settings("1");
        store_.save_copy();
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(7, "e-2"));
        assert_promoted("e-2", quick_ms);
        store_.restore();
        store_.put(fleet_control::promotions_table, "orders",
                   done_row(9, "e-3"));
        assert_promoted("e-3", quick_ms);
        run_for(takeover_bound_ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, stored_takeover()->token_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_control_test);

} // namespace
} // namespace tanagerspan
