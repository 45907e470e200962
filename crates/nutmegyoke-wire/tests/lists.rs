//! The plans and grants lists: which files are accepted, and the message of each fault. An
//! operator corrects a file by this message alone, so it names the place and the remedy.

use nutmegyoke_cases::cases;
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_wire::version::ini;

const PLAN: &str = "[plan gold]\ncustomer = kayal\nkey = k1\nrequests-per-second = 5\n\
                    concurrency = 2\ntokens-per-minute = 900\nfirst-token-ms = 1000\n\
                    between-tokens-ms = 50\ndeadline-ms = 30000\n";

const GRANTS: &str = "[model price-ml]\nmemory-mb = 7000\nplans = gold\n\
                      [adapter price-alp]\nmodel = price-ml\nmemory-mb = 40\nplans = gold\n\
                      [service desk]\nplans = gold\nrepeatable = GET /bookings\n\
                      not-repeatable = POST /bookings\n";

fn lists(plans: &str, grants: &str) -> Lists {
    Lists {
        number: 1,
        plans: ini::plans("plans.ini", plans).unwrap(),
        grants: ini::grants("grants.ini", grants).unwrap(),
    }
}

#[test]
fn whole_lists_are_accepted() {
    insta::assert_json_snapshot!(lists(PLAN, GRANTS));
}

#[test]
fn digest_ignores_number() {
    let first = lists(PLAN, GRANTS);
    let second = Lists {
        number: 2,
        ..first.clone()
    };
    let other = lists(&PLAN.replace("900", "901"), GRANTS);
    let digest = |lists| Configuration::open(lists).unwrap().digest();
    assert_eq!(digest(first.clone()), digest(second));
    assert_ne!(digest(first), digest(other));
}

fn plans_are_rejected(text: &str, expected: &str) {
    let fault = ini::plans("plans.ini", text).unwrap_err();
    assert_eq!(fault.to_string(), expected);
}

cases!(plans_are_rejected {
    unexpected_section: (
        "[model price-ml]\n",
        "plans.ini: [model price-ml]: is unknown: use [plan NAME]"
    ),
    section_without_name: (
        "[plan ]\n",
        "plans.ini: [plan]: is unknown: use [plan NAME]"
    ),
    key_outside_sections: (
        "key = 1\n",
        "plans.ini: the file: `key` is outside of any section: move it below a `[section]` line"
    ),
    duplicate_section: (
        &format!("{PLAN}{PLAN}"),
        "plans.ini: [plan gold]: appears twice: merge the sections or rename one"
    ),
    duplicate_key: (
        &format!("{PLAN}concurrency = 3\n"),
        "plans.ini: [plan gold] concurrency: appears twice: remove one"
    ),
    missing_customer: (
        &PLAN.replace("customer = kayal\n", ""),
        "plans.ini: [plan gold] customer: is missing: add the customer's name"
    ),
    missing_key: (
        &PLAN.replace("key = k1\n", ""),
        "plans.ini: [plan gold] key: is missing: add the bearer key of the plan's callers"
    ),
    negative_rate: (
        &PLAN.replace("second = 5", "second = -5"),
        "plans.ini: [plan gold] requests-per-second: `-5` is not valid: write a whole number"
    ),
    text_instead_of_number: (
        &PLAN.replace("minute = 900", "minute = many"),
        "plans.ini: [plan gold] tokens-per-minute: `many` is not valid: write a whole number"
    ),
    too_large: (
        &PLAN.replace("concurrency = 2", "concurrency = 4294967296"),
        "plans.ini: [plan gold] concurrency: `4294967296` is not valid: write a whole number"
    ),
    zero_deadline: (
        &PLAN.replace("deadline-ms = 30000", "deadline-ms = 0"),
        "plans.ini: [plan gold] deadline-ms: is 0: write at least 1 millisecond"
    ),
    invalid_duration: (
        &PLAN.replace("first-token-ms = 1000", "first-token-ms = 1s"),
        "plans.ini: [plan gold] first-token-ms: `1s` is not valid: write a number of milliseconds"
    ),
    priority_out_of_range: (
        &format!("{PLAN}priority = 10\n"),
        "plans.ini: [plan gold] priority: `10` is not valid: write 0 (most urgent) to 9"
    ),
    unknown_key: (
        &format!("{PLAN}colour = red\n"),
        "plans.ini: [plan gold] colour: is unknown: remove it or use one of between-tokens-ms, \
         concurrency, customer, deadline-ms, first-token-ms, key, priority, \
         requests-per-second, tokens-per-minute"
    ),
});

fn grants_are_rejected(text: &str, expected: &str) {
    let fault = ini::grants("grants.ini", text).unwrap_err();
    assert_eq!(fault.to_string(), expected);
}

cases!(grants_are_rejected {
    unexpected_section: (
        "[plan gold]\n",
        "grants.ini: [plan gold]: is unknown: use [model NAME], [adapter NAME] or [service NAME]"
    ),
    duplicate_section: (
        &format!("{GRANTS}[service desk]\n"),
        "grants.ini: [service desk]: appears twice: merge the sections or rename one"
    ),
    missing_memory: (
        "[model m]\nplans = gold\n",
        "grants.ini: [model m] memory-mb: is missing: add the accelerator memory in megabytes"
    ),
    invalid_memory: (
        "[model m]\nmemory-mb = 7 GB\n",
        "grants.ini: [model m] memory-mb: `7 GB` is not valid: \
         write the accelerator memory in megabytes"
    ),
    memory_too_large: (
        "[model m]\nmemory-mb = 18446744073709551615\n",
        "grants.ini: [model m] memory-mb: is too large: write the accelerator memory in megabytes"
    ),
    adapter_without_model: (
        "[adapter a]\nmemory-mb = 4\n",
        "grants.ini: [adapter a] model: is missing: add the model's name"
    ),
    invalid_call: (
        "[service desk]\nrepeatable = /bookings\n",
        "grants.ini: [service desk] repeatable: `/bookings` is not valid: \
         write METHOD /path, such as GET /prices"
    ),
    unknown_key: (
        "[service desk]\nmemory-mb = 4\n",
        "grants.ini: [service desk] memory-mb: is unknown: \
         remove it or use one of not-repeatable, plans, repeatable"
    ),
});

fn lists_are_inconsistent(plans: &str, grants: &str, expected: &str) {
    let fault = Configuration::open(lists(plans, grants)).unwrap_err();
    assert_eq!(fault.to_string(), expected);
}

cases!(lists_are_inconsistent {
    key_shared_by_two_plans: (
        &format!("{PLAN}{}", PLAN.replace("gold", "tin")),
        GRANTS,
        "plan `tin` has the key of plan `gold`: give each plan its own key"
    ),
    deadline_beyond_claim_retention: (
        &PLAN.replace("30000", "120001"),
        GRANTS,
        "plan `gold` has a longer deadline than 120000 ms, after which a request's key may be \
         forgotten: shorten it"
    ),
    unknown_plan: (
        PLAN,
        &GRANTS.replace("plans = gold", "plans = gold, lead"),
        "item `price-ml` is granted to the unknown plan `lead`: add the plan or remove it here"
    ),
    unknown_model: (
        PLAN,
        &GRANTS.replace("model = price-ml", "model = rice-ml"),
        "adapter `price-alp` belongs to the unknown model `rice-ml`: add the model first"
    ),
    adapter_of_an_adapter: (
        PLAN,
        &GRANTS.replace("model = price-ml", "model = price-alp"),
        "adapter `price-alp` belongs to the unknown model `price-alp`: add the model first"
    ),
    adapter_named_as_model: (
        PLAN,
        &GRANTS.replace("[adapter price-alp]", "[adapter price-ml]"),
        "item `price-ml` is listed twice: rename or remove one"
    ),
});
