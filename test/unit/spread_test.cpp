#include "lacewingbeam/directory_follower.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <criterion/criterion.h>
#include <memory>

// Many instances that tell each other of one store, with messages lost and
// instances killed.
using namespace lacewingbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{seconds(100)};
constexpr duration crossing = milliseconds(1);

std::string address_of(std::size_t number) {
    return "127.0.0.1:" + std::to_string(1000 + number);
}

// The store holds one backend server, and instances that read it.
class installation {
public:
    installation(std::size_t count, double loss)
        : lost_(loss), engine_(5), now(start) {
        for (std::size_t i = 0; i < count; ++i) {
            follower_options options;
            random_engine seed(i + 1);
            options.own.id = draw_incarnation(seed);
            options.own.peer_address = address_of(i);
            options.own.caller_address = options.own.peer_address;
            options.own.admin_address = options.own.peer_address;
            options.seed = i + 1;
            options.seed_patience = milliseconds(1500);
            nodes_.push_back(
                std::make_unique<directory_follower>(options, now));
            const std::vector<std::string> seeds{address_of(0), address_of(1),
                                                 address_of(2)};
            nodes_.back()->set_seeds(seeds);
        }
        alive.assign(count, true);
    }

    void run_until(time_point end) {
        for (; now < end; now += milliseconds(1)) {
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (alive[i] && nodes_[i]->next_due() <= now) {
                    carry_out(i, nodes_[i]->on_tick(now));
                }
            }
        }
    }

    std::size_t with_server() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += alive[i] && !nodes_[i]->known().available("svc").empty()
                         ? 1
                         : 0;
        }
        return count;
    }

    std::size_t reading() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += alive[i] && nodes_[i]->is_reading() ? 1 : 0;
        }
        return count;
    }

    void kill_readers() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            alive[i] = alive[i] && !nodes_[i]->is_reading();
        }
    }

    void drain_server() {
        ++revision_;
        leaving_ = true;
        changed_at_ = revision_;
    }

private:
    struct message {
        time_point at;
        std::size_t from = 0;
        std::size_t to = 0;
        peer_message content;
    };
    struct answer {
        time_point at;
        std::size_t to = 0;
        store_table table{};
        bool snapshot = false;
        std::uint64_t after = 0;
    };

    store_page make_page(store_table table, bool snapshot,
                         std::uint64_t after) const {
        store_page page{table, snapshot, revision_, {}};
        if (table == store_table::routing) {
            routing_table routes;
            routes.version = "1";
            if (snapshot) {
                page.rows.push_back(make_row(routes, 1));
            }
        } else if (snapshot || after < changed_at_) {
            registered_server server;
            server.id = "s";
            server.service = "svc";
            server.address = "127.0.0.1:80";
            server.leaving = leaving_;
            page.rows.push_back(make_row(server, changed_at_));
        }
        return page;
    }

    void run(std::size_t node, const read_snapshot& order) {
        answers_.push_back({now + crossing, node, order.table, true, 0});
    }
    void run(std::size_t node, const read_changes& order) {
        answers_.push_back({now + crossing + order.wait, node, order.table,
                            false, order.after});
    }
    void run(std::size_t node, const send_to_peer& order) {
        if (boost::random::bernoulli_distribution<double>(lost_)(engine_)) {
            return;
        }
        const auto to = std::stoul(order.peer_address.substr(
                            order.peer_address.find(':') + 1)) -
                        1000;
        messages_.push_back({now + crossing, node, to, order.message});
    }

    void carry_out(std::size_t node,
                   const directory_follower::actions& actions) {
        for (const auto& item : actions) {
            std::visit([&](const auto& order) { run(node, order); }, item);
        }
    }

    void deliver() {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& item) {
            if (item.at <= now) {
                due.push_back(item);
            }
            return item.at <= now;
        });
        for (const auto& item : due) {
            if (alive[item.to]) {
                carry_out(item.to,
                          nodes_[item.to]->on_message(address_of(item.from),
                                                      item.content, now));
            }
        }
        std::vector<answer> read;
        std::erase_if(answers_, [&](const answer& item) {
            if (item.at <= now) {
                read.push_back(item);
            }
            return item.at <= now;
        });
        for (const auto& item : read) {
            if (alive[item.to]) {
                const auto page =
                    make_page(item.table, item.snapshot, item.after);
                carry_out(item.to, nodes_[item.to]->on_page(page, now));
            }
        }
    }

    double lost_;
    random_engine engine_;
    std::vector<std::unique_ptr<directory_follower>> nodes_;
    std::vector<message> messages_;
    std::vector<answer> answers_;
    std::uint64_t revision_ = 10;
    std::uint64_t changed_at_ = 5;
    bool leaving_ = false;

public:
    std::vector<bool> alive;
    time_point now;
};

} // namespace

Test(spread, large_installation_has_few_readers) {
    installation world(120, 0.01);
    world.run_until(start + seconds(12));
    cr_assert_eq(world.with_server(), 120);
    cr_assert_leq(world.reading(), 8);
}

Test(spread, drain_reaches_all_within_two_seconds_with_lost_messages) {
    installation world(120, 0.05);
    world.run_until(start + seconds(10));
    world.drain_server();
    world.run_until(world.now + seconds(2));
    cr_assert_eq(world.with_server(), 0);
}

Test(spread, drain_reaches_all_within_two_seconds_when_readers_die) {
    installation world(60, 0.01);
    world.run_until(start + seconds(10));
    world.drain_server();
    world.kill_readers();
    world.run_until(world.now + seconds(2));
    cr_assert_eq(world.with_server(), 0);
}

Test(spread, small_installation_has_one_reader) {
    installation world(13, 0);
    world.run_until(start + seconds(10));
    cr_assert_eq(world.with_server(), 13);
    cr_assert_leq(world.reading(), 2);
}
