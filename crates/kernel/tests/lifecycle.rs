//! Order, lookup and failure of services.

use std::cell::RefCell;
use std::rc::Rc;

use googletest::prelude::*;
use kernel::service::StepResult;
use kernel::{KernelError, ServiceKernel, TaskService};

type StepLog = Rc<RefCell<Vec<String>>>;

async fn record(log: StepLog, line: String) -> StepResult {
    log.borrow_mut().push(line);
    Ok(())
}

fn logged_service(name: &str, log: &StepLog) -> TaskService {
    TaskService::new()
        .on_start(record(Rc::clone(log), format!("start {name}")))
        .on_drain(record(Rc::clone(log), format!("drain {name}")))
        .on_stop(record(Rc::clone(log), format!("stop {name}")))
}

fn kernel_of(names: &[&'static str], log: &StepLog) -> ServiceKernel {
    let kernel = ServiceKernel::new();
    for name in names {
        kernel
            .register(name, Rc::new(()), logged_service(name, log))
            .expect("the step succeeds");
    }
    kernel
}

#[actix_rt::test]
async fn services_start_in_order_and_drain_in_reverse() {
    let log = StepLog::default();
    let kernel = kernel_of(&["store", "http"], &log);

    kernel.start().await.expect("the step succeeds");
    kernel.shut_down().await.expect("the step succeeds");

    let expected = [
        "start store",
        "start http",
        "drain http",
        "drain store",
        "stop http",
        "stop store",
    ];
    assert_that!(
        log.borrow().as_slice(),
        eq(expected.map(str::to_owned).as_slice())
    );
}

#[actix_rt::test]
async fn a_service_finds_another_by_name_and_type() {
    let kernel = ServiceKernel::new();

    kernel
        .register("number", Rc::new(7_u32), TaskService::new())
        .expect("the step succeeds");

    assert_that!(kernel.find::<u32>("number"), some(eq(&Rc::new(7))));
    assert_that!(kernel.find::<String>("number"), none());
    assert_that!(kernel.find::<u32>("other"), none());
}

#[actix_rt::test]
async fn a_duplicate_name_is_rejected() {
    let log = StepLog::default();
    let kernel = kernel_of(&["store"], &log);

    let second = kernel.register("store", Rc::new(()), TaskService::new());

    assert_that!(second, err(eq(&KernelError::Duplicate { name: "store" })));
}

#[actix_rt::test]
async fn a_failed_start_leaves_later_services_unstarted() {
    let log = StepLog::default();
    let kernel = kernel_of(&["store"], &log);
    let broken = TaskService::new().on_start(async { Err("the port is taken".to_owned()) });
    kernel
        .register("http", Rc::new(()), broken)
        .expect("the step succeeds");
    kernel
        .register("last", Rc::new(()), logged_service("last", &log))
        .expect("the step succeeds");

    let started = kernel.start().await;

    let reason = "the port is taken".to_owned();
    assert_that!(
        started,
        err(eq(&KernelError::Failed {
            name: "http",
            reason
        }))
    );
    assert_that!(*log.borrow(), elements_are![eq("start store")]);
}

#[actix_rt::test]
async fn a_running_service_reports_its_failure() {
    let log = StepLog::default();
    let kernel = kernel_of(&["http"], &log);
    kernel.start().await.expect("the step succeeds");

    kernel.report_failure("http", "the listener is gone".to_owned());

    let failure = kernel.next_failure().await;
    assert_that!(
        failure.to_string(),
        eq("service http failed: the listener is gone")
    );
}
