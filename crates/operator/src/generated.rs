pub mod generated {
    #![allow(warnings, clippy::all)]
    use ::pilota::{Buf as _, BufMut as _};
    pub mod skylarkshed {
        use ::pilota::{Buf as _, BufMut as _};

        pub mod operator {
            use ::pilota::{Buf as _, BufMut as _};
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Route {
                pub name: ::pilota::FastStr,

                pub idempotent: bool,
            }
            impl ::pilota::pb::Message for Route {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::bool::encoded_len(ctx, 2, &self.idempotent)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::bool::encode(2, &self.idempotent, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(Route);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.idempotent;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(idempotent));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }

            pub trait Operator {
                fn put_service(
                    &self,
                    req: ::volo_grpc::Request<PutServiceRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn put_version(
                    &self,
                    req: ::volo_grpc::Request<PutVersionRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn put_customer(
                    &self,
                    req: ::volo_grpc::Request<PutCustomerRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn start_move(
                    &self,
                    req: ::volo_grpc::Request<StartMoveRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn reverse_move(
                    &self,
                    req: ::volo_grpc::Request<ReverseMoveRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn describe(
                    &self,
                    req: ::volo_grpc::Request<DescribeRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<DescribeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn watch(
                    &self,
                    req: ::volo_grpc::Request<WatchRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<WatchReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
            }

            pub enum OperatorRequestSend {
                PutService(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<PutServiceRequest, ::volo_grpc::Status>,
                    >,
                ),
                PutVersion(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<PutVersionRequest, ::volo_grpc::Status>,
                    >,
                ),
                PutCustomer(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<PutCustomerRequest, ::volo_grpc::Status>,
                    >,
                ),
                StartMove(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<StartMoveRequest, ::volo_grpc::Status>,
                    >,
                ),
                ReverseMove(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ReverseMoveRequest, ::volo_grpc::Status>,
                    >,
                ),
                Describe(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<DescribeRequest, ::volo_grpc::Status>,
                    >,
                ),
                Watch(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<WatchRequest, ::volo_grpc::Status>,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for OperatorRequestSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<::volo_grpc::codegen::Bytes>,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::PutService(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::PutVersion(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::PutCustomer(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::StartMove(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::ReverseMove(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Describe(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Watch(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                    }
                }
            }

            pub enum OperatorRequestRecv {
                PutService(::volo_grpc::RecvStream<PutServiceRequest>),
                PutVersion(::volo_grpc::RecvStream<PutVersionRequest>),
                PutCustomer(::volo_grpc::RecvStream<PutCustomerRequest>),
                StartMove(::volo_grpc::RecvStream<StartMoveRequest>),
                ReverseMove(::volo_grpc::RecvStream<ReverseMoveRequest>),
                Describe(::volo_grpc::RecvStream<DescribeRequest>),
                Watch(::volo_grpc::RecvStream<WatchRequest>),
            }

            impl ::volo_grpc::RecvEntryMessage for OperatorRequestRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status> {
                    match method {
                        Some("/skylarkshed.operator.Operator/PutService") => {
                            ::std::result::Result::Ok(Self::PutService(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/PutVersion") => {
                            ::std::result::Result::Ok(Self::PutVersion(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/PutCustomer") => {
                            ::std::result::Result::Ok(Self::PutCustomer(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/StartMove") => {
                            ::std::result::Result::Ok(Self::StartMove(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/ReverseMove") => {
                            ::std::result::Result::Ok(Self::ReverseMove(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/Describe") => {
                            ::std::result::Result::Ok(Self::Describe(::volo_grpc::RecvStream::new(
                                body,
                                kind,
                                compression_encoding,
                            )))
                        }
                        Some("/skylarkshed.operator.Operator/Watch") => {
                            ::std::result::Result::Ok(Self::Watch(::volo_grpc::RecvStream::new(
                                body,
                                kind,
                                compression_encoding,
                            )))
                        }
                        _ => ::std::result::Result::Err(::volo_grpc::Status::new(
                            ::volo_grpc::Code::Unimplemented,
                            "Method not found.",
                        )),
                    }
                }
            }

            pub enum OperatorResponseSend {
                PutService(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ChangeReply, ::volo_grpc::Status>,
                    >,
                ),
                PutVersion(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ChangeReply, ::volo_grpc::Status>,
                    >,
                ),
                PutCustomer(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ChangeReply, ::volo_grpc::Status>,
                    >,
                ),
                StartMove(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ChangeReply, ::volo_grpc::Status>,
                    >,
                ),
                ReverseMove(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ChangeReply, ::volo_grpc::Status>,
                    >,
                ),
                Describe(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<DescribeReply, ::volo_grpc::Status>,
                    >,
                ),
                Watch(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<WatchReply, ::volo_grpc::Status>,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for OperatorResponseSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<::volo_grpc::codegen::Bytes>,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::PutService(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::PutVersion(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::PutCustomer(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::StartMove(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::ReverseMove(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Describe(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Watch(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                    }
                }
            }

            pub enum OperatorResponseRecv {
                PutService(::volo_grpc::RecvStream<ChangeReply>),
                PutVersion(::volo_grpc::RecvStream<ChangeReply>),
                PutCustomer(::volo_grpc::RecvStream<ChangeReply>),
                StartMove(::volo_grpc::RecvStream<ChangeReply>),
                ReverseMove(::volo_grpc::RecvStream<ChangeReply>),
                Describe(::volo_grpc::RecvStream<DescribeReply>),
                Watch(::volo_grpc::RecvStream<WatchReply>),
            }

            impl ::volo_grpc::RecvEntryMessage for OperatorResponseRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status>
                where
                    Self: ::core::marker::Sized,
                {
                    match method {
                        Some("/skylarkshed.operator.Operator/PutService") => {
                            ::std::result::Result::Ok(Self::PutService(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/PutVersion") => {
                            ::std::result::Result::Ok(Self::PutVersion(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/PutCustomer") => {
                            ::std::result::Result::Ok(Self::PutCustomer(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/StartMove") => {
                            ::std::result::Result::Ok(Self::StartMove(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/ReverseMove") => {
                            ::std::result::Result::Ok(Self::ReverseMove(
                                ::volo_grpc::RecvStream::new(body, kind, compression_encoding),
                            ))
                        }
                        Some("/skylarkshed.operator.Operator/Describe") => {
                            ::std::result::Result::Ok(Self::Describe(::volo_grpc::RecvStream::new(
                                body,
                                kind,
                                compression_encoding,
                            )))
                        }
                        Some("/skylarkshed.operator.Operator/Watch") => {
                            ::std::result::Result::Ok(Self::Watch(::volo_grpc::RecvStream::new(
                                body,
                                kind,
                                compression_encoding,
                            )))
                        }
                        _ => ::std::result::Result::Err(::volo_grpc::Status::new(
                            ::volo_grpc::Code::Unimplemented,
                            "Method not found.",
                        )),
                    }
                }
            }

            pub struct OperatorClientBuilder {}
            impl OperatorClientBuilder {
                pub fn new(
                    service_name: impl AsRef<str>,
                ) -> ::volo_grpc::client::ClientBuilder<
                    ::volo::layer::Identity,
                    ::volo::layer::Identity,
                    MkOperatorGenericClient,
                    ::volo_grpc::layer::loadbalance::LbConfig<
                        ::volo::loadbalance::random::WeightedRandomBalance<(::volo::FastStr)>,
                        ::volo_grpc::client::dns::DnsResolver,
                    >,
                    OperatorRequestSend,
                    OperatorResponseRecv,
                > {
                    ::volo_grpc::client::ClientBuilder::new(MkOperatorGenericClient, service_name)
                }
            }

            pub struct MkOperatorGenericClient;

            pub type OperatorClient = OperatorGenericClient<
                ::volo::service::BoxCloneService<
                    ::volo_grpc::context::ClientContext,
                    ::volo_grpc::Request<OperatorRequestSend>,
                    ::volo_grpc::Response<OperatorResponseRecv>,
                    ::volo_grpc::Status,
                >,
            >;

            impl<S> ::volo::client::MkClient<::volo_grpc::Client<S>> for MkOperatorGenericClient {
                type Target = OperatorGenericClient<S>;
                fn mk_client(&self, service: ::volo_grpc::Client<S>) -> Self::Target {
                    OperatorGenericClient(service)
                }
            }

            #[derive(Clone)]
            pub struct OperatorGenericClient<S>(pub ::volo_grpc::Client<S>);

            pub struct OperatorOneShotClient<S>(pub ::volo_grpc::Client<S>);

            impl<S> OperatorGenericClient<S>
            where
                S: ::volo::service::Service<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<OperatorRequestSend>,
                        Response = ::volo_grpc::Response<OperatorResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Sync
                    + Send
                    + 'static,
            {
                pub fn with_callopt<
                    Opt: ::volo::client::Apply<::volo_grpc::context::ClientContext>,
                >(
                    self,
                    opt: Opt,
                ) -> OperatorOneShotClient<::volo::client::WithOptService<S, Opt>> {
                    OperatorOneShotClient(self.0.with_opt(opt))
                }

                pub async fn put_service(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<PutServiceRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutService(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutService");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutService(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn put_version(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<PutVersionRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutVersion(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutVersion");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutVersion(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn put_customer(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<PutCustomerRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutCustomer(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutCustomer");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutCustomer(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn start_move(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<StartMoveRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::StartMove(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/StartMove");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::StartMove(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn reverse_move(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<ReverseMoveRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::ReverseMove(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/ReverseMove");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::ReverseMove(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn describe(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<DescribeRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<DescribeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::Describe(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/Describe");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::Describe(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn watch(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<WatchRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<WatchReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::Watch(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/Watch");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::Watch(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
            }

            impl<
                S: ::volo::client::OneShotService<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<OperatorRequestSend>,
                        Response = ::volo_grpc::Response<OperatorResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Send
                    + Sync
                    + 'static,
            > OperatorOneShotClient<S>
            {
                pub async fn put_service(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<PutServiceRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutService(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutService");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutService(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn put_version(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<PutVersionRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutVersion(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutVersion");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutVersion(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn put_customer(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<PutCustomerRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::PutCustomer(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/PutCustomer");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::PutCustomer(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn start_move(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<StartMoveRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::StartMove(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/StartMove");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::StartMove(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn reverse_move(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<ReverseMoveRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<ChangeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::ReverseMove(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/ReverseMove");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::ReverseMove(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn describe(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<DescribeRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<DescribeReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::Describe(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/Describe");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::Describe(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn watch(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<WatchRequest>,
                ) -> ::std::result::Result<::volo_grpc::Response<WatchReply>, ::volo_grpc::Status>
                {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            OperatorRequestSend::Watch(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/skylarkshed.operator.Operator/Watch");

                    let resp = ::volo::client::OneShotService::call(self.0, &mut cx, req).await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        OperatorResponseRecv::Watch(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ));
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                        .await
                        .map_err(|mut status| {
                            status.metadata_mut().merge(metadata.clone());
                            status
                        })?
                        .ok_or_else(|| {
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Internal,
                                "Missing response message.",
                            )
                        })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
            }

            pub struct OperatorServer<S> {
                inner: ::std::sync::Arc<S>,
            }

            impl<S> Clone for OperatorServer<S> {
                fn clone(&self) -> Self {
                    OperatorServer {
                        inner: self.inner.clone(),
                    }
                }
            }

            impl<S> OperatorServer<S> {
                pub fn new(inner: S) -> Self {
                    Self::from_arc(::std::sync::Arc::new(inner))
                }

                pub fn from_arc(inner: ::std::sync::Arc<S>) -> Self {
                    Self { inner }
                }
            }

            impl<S>
                ::volo::service::Service<
                    ::volo_grpc::context::ServerContext,
                    ::volo_grpc::Request<OperatorRequestRecv>,
                > for OperatorServer<S>
            where
                S: Operator + ::core::marker::Send + ::core::marker::Sync + 'static,
            {
                type Response = ::volo_grpc::Response<OperatorResponseSend>;
                type Error = ::volo_grpc::status::Status;

                async fn call<'s, 'cx>(
                    &'s self,
                    cx: &'cx mut ::volo_grpc::context::ServerContext,
                    req: ::volo_grpc::Request<OperatorRequestRecv>,
                ) -> ::std::result::Result<Self::Response, Self::Error> {
                    let inner = self.inner.clone();
                    match cx.rpc_info.method().as_str() {
                        "/skylarkshed.operator.Operator/PutService" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::PutService(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.put_service(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::PutService(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/PutVersion" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::PutVersion(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.put_version(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::PutVersion(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/PutCustomer" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::PutCustomer(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.put_customer(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::PutCustomer(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/StartMove" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::StartMove(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.start_move(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::StartMove(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/ReverseMove" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::ReverseMove(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.reverse_move(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::ReverseMove(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/Describe" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::Describe(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.describe(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::Describe(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/skylarkshed.operator.Operator/Watch" => {
                            let (mut metadata, extensions, message_stream) = req.into_parts();
                            let mut message_stream = match message_stream {
                                OperatorRequestRecv::Watch(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(::volo_grpc::Status::new(
                                        ::volo_grpc::Code::Unimplemented,
                                        "Method not found.",
                                    ));
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                                    .await?
                                    .ok_or_else(|| {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req =
                                ::volo_grpc::Request::from_parts(metadata, extensions, message);
                            let resp = inner.watch(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    OperatorResponseSend::Watch(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(m),
                                        ),
                                    ))
                                })
                            })
                        }
                        path => {
                            let path = path.to_string();
                            ::std::result::Result::Err(::volo_grpc::Status::unimplemented(
                                ::std::format!("Unimplemented http path: {}", path),
                            ))
                        }
                    }
                }
            }

            impl<S: Operator> ::volo_grpc::server::NamedService for OperatorServer<S> {
                const NAME: &'static str = "skylarkshed.operator.Operator";
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq, Copy)]
            #[repr(transparent)]
            pub struct ServiceKind(i32);

            impl ServiceKind {
                pub const SERVICE_KIND_MODEL: Self = Self(0);
                pub const SERVICE_KIND_PLAIN: Self = Self(1);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("SERVICE_KIND_MODEL"),
                        Self(1) => ::std::string::String::from("SERVICE_KIND_PLAIN"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(value: i32) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::SERVICE_KIND_MODEL),
                        1 => ::std::option::Option::Some(Self::SERVICE_KIND_PLAIN),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for ServiceKind {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<ServiceKind> for i32 {
                fn from(value: ServiceKind) -> i32 {
                    value.0
                }
            }

            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct WatchRequest {
                pub after: u64,

                pub wait_ms: u64,
            }
            impl ::pilota::pb::Message for WatchRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(ctx, 1, &self.after)
                        + ::pilota::pb::encoding::uint64::encoded_len(ctx, 2, &self.wait_ms)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.after, buf);
                    ::pilota::pb::encoding::uint64::encode(2, &self.wait_ms, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(WatchRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.after;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(after));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.wait_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(wait_ms));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct DescribeRequest {}
            impl ::pilota::pb::Message for DescribeRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {}

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    match tag {
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct StartMoveRequest {
                pub change_id: ::pilota::FastStr,

                pub service: ::pilota::FastStr,

                pub to_version: ::pilota::FastStr,

                pub within_ms: u64,
            }
            impl ::pilota::pb::Message for StartMoveRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.change_id)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.service)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 3, &self.to_version)
                        + ::pilota::pb::encoding::uint64::encoded_len(ctx, 4, &self.within_ms)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.service, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.to_version, buf);
                    ::pilota::pb::encoding::uint64::encode(4, &self.within_ms, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(StartMoveRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(service));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.to_version;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(to_version));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.within_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(within_ms));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Upstream {
                pub name: ::pilota::FastStr,

                pub address: ::pilota::FastStr,

                pub zone: ::pilota::FastStr,

                pub checks_fencing: bool,
            }
            impl ::pilota::pb::Message for Upstream {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.address)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 3, &self.zone)
                        + ::pilota::pb::encoding::bool::encoded_len(ctx, 4, &self.checks_fencing)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.address, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.zone, buf);
                    ::pilota::pb::encoding::bool::encode(4, &self.checks_fencing, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(Upstream);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.address;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(address));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.zone;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(zone));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.checks_fencing;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(checks_fencing));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct WatchReply {
                pub news: ::std::vec::Vec<News>,
            }
            impl ::pilota::pb::Message for WatchReply {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::message::encoded_len_repeated(ctx, 1, &self.news)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    for msg in &self.news {
                        ::pilota::pb::encoding::message::encode(1, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(WatchReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.news;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(news));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct DescribeReply {
                pub revision: u64,

                pub configuration: ::pilota::FastStr,

                pub vms: ::std::vec::Vec<VmRevision>,
            }
            impl ::pilota::pb::Message for DescribeReply {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(ctx, 1, &self.revision)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.configuration)
                        + ::pilota::pb::encoding::message::encoded_len_repeated(ctx, 3, &self.vms)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.revision, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.configuration, buf);
                    for msg in &self.vms {
                        ::pilota::pb::encoding::message::encode(3, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(DescribeReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(revision));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.configuration;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(configuration));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.vms;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(vms));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct ChangeReply {
                pub revision: u64,
            }
            impl ::pilota::pb::Message for ChangeReply {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(ctx, 1, &self.revision)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.revision, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(ChangeReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(revision));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct PutCustomerRequest {
                pub change_id: ::pilota::FastStr,

                pub name: ::pilota::FastStr,

                pub keys: ::std::vec::Vec<::pilota::FastStr>,

                pub services: ::std::vec::Vec<::pilota::FastStr>,

                pub weight: u32,

                pub requests_per_s: u32,

                pub concurrency: u32,
            }
            impl ::pilota::pb::Message for PutCustomerRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.change_id)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.name)
                        + ::pilota::pb::encoding::faststr::encoded_len_repeated(ctx, 3, &self.keys)
                        + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                            ctx,
                            4,
                            &self.services,
                        )
                        + ::pilota::pb::encoding::uint32::encoded_len(ctx, 5, &self.weight)
                        + ::pilota::pb::encoding::uint32::encoded_len(ctx, 6, &self.requests_per_s)
                        + ::pilota::pb::encoding::uint32::encoded_len(ctx, 7, &self.concurrency)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.name, buf);
                    ::pilota::pb::encoding::faststr::encode_repeated(3, &self.keys, buf);
                    ::pilota::pb::encoding::faststr::encode_repeated(4, &self.services, buf);
                    ::pilota::pb::encoding::uint32::encode(5, &self.weight, buf);
                    ::pilota::pb::encoding::uint32::encode(6, &self.requests_per_s, buf);
                    ::pilota::pb::encoding::uint32::encode(7, &self.concurrency, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(PutCustomerRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.keys;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(keys));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.services;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(services));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.weight;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(weight));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.requests_per_s;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(requests_per_s));
                                error
                            })
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.concurrency;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(concurrency));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct PutServiceRequest {
                pub change_id: ::pilota::FastStr,

                pub name: ::pilota::FastStr,

                pub kind: ServiceKind,

                pub routes: ::std::vec::Vec<Route>,
            }
            impl ::pilota::pb::Message for PutServiceRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.change_id)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.name)
                        + ::pilota::pb::encoding::int32::encoded_len(ctx, 3, &self.kind)
                        + ::pilota::pb::encoding::message::encoded_len_repeated(
                            ctx,
                            4,
                            &self.routes,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.name, buf);
                    ::pilota::pb::encoding::int32::encode(3, &self.kind, buf);
                    for msg in &self.routes {
                        ::pilota::pb::encoding::message::encode(4, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(PutServiceRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(kind));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.routes;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(routes));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct News {
                pub position: u64,

                pub service: ::pilota::FastStr,

                pub to_version: ::pilota::FastStr,

                pub event: ::pilota::FastStr,

                pub detail: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for News {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(ctx, 1, &self.position)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.service)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 3, &self.to_version)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 4, &self.event)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 5, &self.detail)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.position, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.service, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.to_version, buf);
                    ::pilota::pb::encoding::faststr::encode(4, &self.event, buf);
                    ::pilota::pb::encoding::faststr::encode(5, &self.detail, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(News);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.position;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(position));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(service));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.to_version;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(to_version));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.event;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(event));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.detail;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(detail));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct VmRevision {
                pub vm: ::pilota::FastStr,

                pub zone: ::pilota::FastStr,

                pub revision: u64,
            }
            impl ::pilota::pb::Message for VmRevision {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.vm)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.zone)
                        + ::pilota::pb::encoding::uint64::encoded_len(ctx, 3, &self.revision)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.vm, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.zone, buf);
                    ::pilota::pb::encoding::uint64::encode(3, &self.revision, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(VmRevision);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.vm;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(vm));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.zone;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(zone));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(revision));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct ReverseMoveRequest {
                pub change_id: ::pilota::FastStr,

                pub service: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for ReverseMoveRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.change_id)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.service)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.service, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(ReverseMoveRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(service));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct PutVersionRequest {
                pub change_id: ::pilota::FastStr,

                pub service: ::pilota::FastStr,

                pub name: ::pilota::FastStr,

                pub adapter: ::pilota::FastStr,

                pub upstreams: ::std::vec::Vec<Upstream>,
            }
            impl ::pilota::pb::Message for PutVersionRequest {
                #[inline]
                fn encoded_len(&self, ctx: &mut ::pilota::pb::EncodeLengthContext) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.change_id)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.service)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 3, &self.name)
                        + ::pilota::pb::encoding::faststr::encoded_len(ctx, 4, &self.adapter)
                        + ::pilota::pb::encoding::message::encoded_len_repeated(
                            ctx,
                            5,
                            &self.upstreams,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.service, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.name, buf);
                    ::pilota::pb::encoding::faststr::encode(4, &self.adapter, buf);
                    for msg in &self.upstreams {
                        ::pilota::pb::encoding::message::encode(5, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError> {
                    const STRUCT_NAME: &'static str = stringify!(PutVersionRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(service));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.adapter;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(adapter));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.upstreams;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(upstreams));
                                error
                            })
                        }
                        _ => ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx),
                    }
                }
            }
        }
    }
}
