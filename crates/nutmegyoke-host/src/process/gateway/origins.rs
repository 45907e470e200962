//! What gateways and stewards tell each other of the builds that began streams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::Event as Input;
use nutmegyoke_core::process::gateway::resumption::{self, Answer, Places};
use nutmegyoke_core::process::origin::{Build, Stream};
use nutmegyoke_core::version::Service;
use nutmegyoke_wire::connection::convert::{milliseconds, text};
use nutmegyoke_wire::connection::mesh_capnp::gateway;

use super::Gateway;
use crate::process::Codec;

/// How long a process may take to note the build of a stream. Nothing waits for it.
const NOTE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long others may take to tell the build of a stream. Without it the stream is refused, and after a
/// power loss of all gateways the connections have to be made first: with 150 ms, a quarter of the streams
/// that were taken up on a deployment with small VMs were refused.
const RECALL_TIMEOUT: Duration = Duration::from_millis(800);

impl<C: Clock + 'static, D: Codec> Gateway<C, D> {
    /// Tells other processes which build began a stream. A note that is lost is not sent again: the
    /// others have it.
    pub(super) fn note_origin(self: &Rc<Self>, places: &Places, stream: Stream, build: Build) {
        for &address in &places.gateways {
            let this = Rc::clone(self);
            compio::runtime::spawn(async move {
                let noted = this
                    .gateways
                    .call(address, NOTE_TIMEOUT, |client| async move {
                        let mut request = client.note_origin_request();
                        request.get().set_stream(stream.0);
                        request.get().set_build(build.0);
                        request.send().promise.await.map(drop)
                    });
                let _ = noted.await;
            })
            .detach();
        }
        for &ip in &places.stewards {
            let address = SocketAddr::new(ip, self.steward_port);
            let this = Rc::clone(self);
            compio::runtime::spawn(async move {
                let noted = this
                    .stewards
                    .call(address, NOTE_TIMEOUT, |client| async move {
                        let mut request = client.note_origin_request();
                        request.get().set_stream(stream.0);
                        request.get().set_build(build.0);
                        request.send().promise.await.map(drop)
                    });
                let _ = noted.await;
            })
            .detach();
        }
    }

    /// Asks other processes which build began a stream, all at once. Returns the answers until one
    /// of them knows it.
    pub(crate) async fn recall_origin(
        &self,
        places: &Places,
        stream: Stream,
        service: &Service,
        horizon: Duration,
    ) -> Vec<Answer> {
        let gateways = places.gateways.iter().map(|&address| async move {
            let asked = self
                .gateways
                .ask(address, RECALL_TIMEOUT, |client| async move {
                    let mut request = client.recall_origin_request();
                    request.get().set_stream(stream.0);
                    request.get().set_service(service.as_str());
                    request.get().set_horizon_ms(milliseconds(horizon));
                    let response = request.send().promise.await?;
                    let results = response.get()?;
                    Ok((results.get_build(), results.get_sole()))
                });
            asked.await.ok()
        });
        let stewards = places.stewards.iter().map(|&ip| async move {
            let address = SocketAddr::new(ip, self.steward_port);
            let asked = self
                .stewards
                .ask(address, RECALL_TIMEOUT, |client| async move {
                    let mut request = client.recall_origin_request();
                    request.get().set_stream(stream.0);
                    let response = request.send().promise.await?;
                    Ok((response.get()?.get_build(), 0))
                });
            asked.await.ok()
        });
        let mut gateways: FuturesUnordered<_> = gateways.collect();
        let mut stewards: FuturesUnordered<_> = stewards.collect();
        let mut answers = Vec::new();
        let known = |key| Some(key).filter(|&key| key != 0).map(Build);
        loop {
            let answer = futures_util::select! {
                answer = gateways.select_next_some() => answer,
                answer = stewards.select_next_some() => answer,
                complete => return answers,
            };
            let Some((build, sole)) = answer else {
                continue;
            };
            answers.push(Answer {
                build: known(build),
                sole: known(sole),
            });
            if build != 0 {
                return answers;
            }
        }
    }

    /// Notes the build of a stream that another gateway tells.
    pub(super) fn receive_origin(&self, params: &gateway::NoteOriginParams) -> capnp::Result<()> {
        let params = params.get()?;
        self.driver
            .feed(Input::Resumption(resumption::Event::Noted {
                stream: Stream(params.get_stream()),
                build: Build(params.get_build()),
            }));
        Ok(())
    }

    /// Answers another gateway what this one knows of a stream.
    pub(super) fn answer_recall(
        &self,
        params: &gateway::RecallOriginParams,
        mut results: gateway::RecallOriginResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let now = self.driver.clock().now();
        let machine = self.driver.machine();
        let build = machine.origin(now, Stream(params.get_stream()));
        let horizon = Duration::from_millis(params.get_horizon_ms());
        let sole = machine.sole_build(now, text(params.get_service())?, horizon);
        results.get().set_build(build.map_or(0, |build| build.0));
        results.get().set_sole(sole.map_or(0, |build| build.0));
        Ok(())
    }
}
